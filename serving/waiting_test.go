package serving_test

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/catalog"
	"github.com/persimmonline/persimmonline/limit"
	"github.com/persimmonline/persimmonline/serving"
)

// fullRoom is a fleet without a free place, for which others wait too.
var fullRoom = limit.Room{Places: 40, Running: 40, Nodes: 4, WaitingElsewhere: 1000}

// scarce is a deployment with an engine that answers the first request once release is called, while
// another request waits in the node.
func scarce(t *testing.T) (d *deployment, release func(), waiting <-chan reply, leave context.CancelFunc) {
	t.Helper()
	hold := make(chan struct{})
	d = deploy(t, 1, func(d *deployment, run int64, w http.ResponseWriter, r *http.Request) {
		if run == 1 {
			<-hold
		}
		ok(d, run, w, r)
	})
	d.allowTime(5 * time.Second)
	d.setRooms(map[string]limit.Room{"s": fullRoom}, false)
	released := false
	release = func() {
		if !released {
			close(hold)
			released = true
		}
	}
	t.Cleanup(release)
	go func() { d.call(context.Background(), "unsafe", nil) }()
	require.Eventually(t, func() bool { return d.runs.Load() == 1 }, time.Second, time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	second := make(chan reply, 1)
	go func() { second <- d.call(ctx, "unsafe", nil) }()
	require.Eventually(t, func() bool { return d.handler.Waiting()["s"] == 1 }, time.Second, time.Millisecond)
	return d, release, second, cancel
}

// allowTime sets the time until a final response is due.
func (d *deployment) allowTime(timeout time.Duration) {
	config := *d.view.Load().Table.Config
	config.Routes = slices.Clone(config.Routes)
	for i := range config.Routes {
		config.Routes[i].Timeout = timeout
	}
	view := *d.view.Load()
	view.Table = catalog.NewTable(&config)
	d.view.Store(&view)
}

// setRooms publishes the places at the engines of each service.
func (d *deployment) setRooms(rooms map[string]limit.Room, draining bool) {
	old := d.view.Load()
	view := &serving.View{Table: old.Table, Fleet: old.Fleet, RetryBurst: old.RetryBurst, Rooms: rooms, Draining: draining}
	d.view.Store(view)
	d.handler.ViewChanged(view)
}

func TestRequestStartsWhenAPlaceIsGivenBack(t *testing.T) {
	_, release, waiting, _ := scarce(t)
	release()
	require.Equal(t, http.StatusOK, (<-waiting).status)
}

func TestRequestStartsWhenEnginesHaveRoom(t *testing.T) {
	d, _, waiting, _ := scarce(t)
	d.setRooms(map[string]limit.Room{"s": {Places: 40, Running: 30, Free: 10, Nodes: 4}}, false)
	require.Equal(t, http.StatusOK, (<-waiting).status)
}

func TestNothingIsSentForACallerThatLeftWhileItWaited(t *testing.T) {
	d, release, waiting, leave := scarce(t)
	leave()
	require.Error(t, (<-waiting).err)
	require.Eventually(t, func() bool { return len(d.handler.Waiting()) == 0 }, time.Second, time.Millisecond)
	release()
	require.EqualValues(t, 1, d.runs.Load())
}

func TestStoppingNodeSendsWhatWaits(t *testing.T) {
	d, _, waiting, _ := scarce(t)
	d.setRooms(map[string]limit.Room{"s": fullRoom}, true)
	require.Equal(t, http.StatusOK, (<-waiting).status)
}

func TestConfigurationWithoutRanksSendsWhatWaits(t *testing.T) {
	d, _, waiting, _ := scarce(t)
	d.setRooms(nil, false)
	require.Equal(t, http.StatusOK, (<-waiting).status)
}

func TestNothingWaitsForEnginesThatVanished(t *testing.T) {
	d, _, waiting, _ := scarce(t)
	d.publish(nil, nil)
	d.setRooms(map[string]limit.Room{"s": {Nodes: 4, WaitingElsewhere: 1000}}, false)
	got := <-waiting
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.EqualValues(t, 1, d.runs.Load())
}

func TestRequestThatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	d, _, _, _ := scarce(t)
	started := time.Now()
	got := d.call(context.Background(), "unsafe", func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "300") })
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Less(t, time.Since(started), 200*time.Millisecond)
}

func TestExplanationTellsWhatWaitsAhead(t *testing.T) {
	d, _, _, _ := scarce(t)
	question := &serving.Question{Host: "h.example", Path: "/unsafe/x", Key: "key"}
	explanation, refused := d.handler.Explain(question)
	require.Nil(t, refused)
	queue := explanation.Admission.Queue
	require.Equal(t, "wait", queue.Verdict)
	require.Equal(t, [3]int{1, 1, 1}, [3]int{queue.Ahead, queue.Waiting, queue.Running})
	require.Equal(t, 1, d.handler.Waiting()["s"])
	d.setRooms(nil, false)
	explanation, _ = d.handler.Explain(question)
	require.Nil(t, explanation.Admission.Queue)
}
