package standin_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/examples"
	"github.com/persimmonline/persimmonline/infra"
	"github.com/persimmonline/persimmonline/infra/httpclient"
	"github.com/persimmonline/persimmonline/standin"
	"github.com/persimmonline/persimmonline/upstream"
)

func deploy(t *testing.T) *standin.Deployment {
	t.Helper()
	described, err := examples.Load(examples.Falaj)
	require.NoError(t, err)
	deployment, err := standin.StartDeployment(described)
	require.NoError(t, err)
	t.Cleanup(deployment.Close)
	return deployment
}

func post(t *testing.T, url string) (int, string) {
	t.Helper()
	response, err := http.Post(url, "", nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

func TestFaultSwitches(t *testing.T) {
	deployment := deploy(t)
	cases := []struct {
		path   string
		status int
		text   string
	}{
		{"/log/down", 200, "/log/down: done"},
		{"/log/up", 200, "done"},
		{"/log/slow?by=soon", 400, `by="soon"`},
		{"/log/lose?n=-1", 400, `n="-1"`},
		{"/cloud/refuse?class=spot-a&data_centre=ibri", 200, "done"},
		{"/cloud/reclaim?data_centre=nowhere", 400, `data_centre="nowhere"`},
		{"/cloud/reclaim", 400, "data_centre or host"},
		{"/hosts/torn?share=half", 400, `share="half"`},
		{"/weights/rate?bytes_per_second=x", 400, "bytes_per_second"},
		{"/engines/engine-01/slow?factor=10", 200, "/engines/engine-01/slow: done"},
		{"/engines/engine-99/slow?factor=10", 400, "engine-99"},
		{"/services/rakes-1/lose?n=1", 200, "done"},
		{"/upstreams/engine-02/kill", 200, "done"},
		{"/upstreams/engine-02/kill", 400, "not running"},
		{"/nothing", 404, ""},
	}
	for _, c := range cases {
		status, text := post(t, deployment.FaultsURL()+"/faults"+c.path)
		require.Equal(t, c.status, status, c.path)
		require.Contains(t, text, c.text, c.path)
	}
	require.Nil(t, deployment.Engine("engine-02"))
}

func TestCloudStartsOnceByTokenAndRefusesByPlace(t *testing.T) {
	deployment := deploy(t)
	cloud := httpclient.NewCloudClient(deployment.CloudURL())
	defer cloud.Close()
	request := api.StartHostRequest{Token: "t/1", MachineClass: "spot-a", DataCentre: "ibri", Role: "engine"}
	deployment.Cloud.RefuseStarts("spot-a", "ibri", true)
	_, err := cloud.Start(t.Context(), request)
	var refused *infra.Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, http.StatusConflict, refused.Status)
	require.Equal(t, infra.EffectNone, refused.Effect)

	deployment.Cloud.RefuseStarts("spot-a", "ibri", false)
	deployment.Cloud.DropStartResponses(1)
	_, err = cloud.Start(t.Context(), request)
	require.ErrorAs(t, err, &refused)
	require.Equal(t, infra.EffectUnknown, refused.Effect)
	first, err := cloud.Start(t.Context(), request)
	require.NoError(t, err)
	require.NoError(t, cloud.Stop(t.Context(), first.ID))
	again, err := cloud.Start(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, first.ID, again.ID)
	require.Equal(t, api.CloudHostStateGone, again.State)
	require.Equal(t, 1, deployment.Cloud.Started())
}

func TestEngineLoadsAtTheStoresRateAndChecksFencing(t *testing.T) {
	deployment := deploy(t)
	deployment.Weights.SetDown(true)
	conn := upstream.NewPool("test").Get(deployment.Server("engine-01").Address())
	order := api.EngineOrder{ID: "1", Kind: api.EngineOrderKindLoad, Model: "summary", Version: "1", Fence: 5}
	result, err := conn.SendOrder(t.Context(), order)
	require.NoError(t, err)
	require.Equal(t, api.OrderResultStateRunning, result.State)
	old := order
	old.ID, old.Fence = "2", 4
	_, err = conn.SendOrder(t.Context(), old)
	var refused *upstream.Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, http.StatusConflict, refused.Status)
	deployment.Engine("engine-01").SetEnforceFencing(false)
	deployment.Weights.SetDown(false)
	require.Eventually(t, func() bool {
		result, err = conn.SendOrder(t.Context(), order)
		return err == nil && result.State == api.OrderResultStateDone
	}, time.Minute, 20*time.Millisecond)
	reads := deployment.Weights.Reads()
	result, err = conn.SendOrder(t.Context(), old)
	require.NoError(t, err, "an engine that ignores fencing numbers accepts the order")
	require.Equal(t, api.OrderResultStateDone, result.State, "a loaded model is not loaded again")
	require.Equal(t, reads, deployment.Weights.Reads())
}
