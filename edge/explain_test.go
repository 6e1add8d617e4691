package edge

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// ask sends a question to a node's metrics listener.
func ask(t *testing.T, e *Edge, question string) (int, string) {
	response, err := http.Post("http://"+e.metricsAddress()+ExplainPath, "application/json", strings.NewReader(question))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

func TestARunningNodeExplainsWhereARequestWouldGo(t *testing.T) {
	store := newStore(t)
	store.configure(1, "key")
	store.register("i-1", "127.0.0.1:1")
	e, _ := start(t, settings(t, "n", store.address()))
	require.Eventually(t, func() bool { return ready(e) }, eventually, 5*time.Millisecond)
	code, answer := ask(t, e, `{"host":"h.example","path":"/a/x","key":"key"}`)
	require.Equal(t, http.StatusOK, code, answer)
	require.Contains(t, answer, `"choice":"i-1"`)
	require.Contains(t, answer, `"workspace":"w"`)
	code, answer = ask(t, e, `{"host":"h.example","path":"/none/x","key":"key"}`)
	require.Equal(t, http.StatusNotFound, code)
	require.JSONEq(t, `{"error":"no route for h.example/none/x"}`, answer)
	code, answer = ask(t, e, `{"request_id":"id-1"}`)
	require.Equal(t, http.StatusNotFound, code)
	require.Contains(t, answer, `no request \"id-1\"`)
}

func TestTheKeyOfAQuestionIsNotLogged(t *testing.T) {
	var log bytes.Buffer
	e := New(settings(t, "n", newStore(t).address()), zerolog.New(&log))
	for _, question := range []string{`{"host":"h.example","path":"/a/x","key":"sekret"}`, `{"key":"sekret"`, `{"key":"sekret","path":1}`} {
		recorder := httptest.NewRecorder()
		e.metricsRoutes().ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, ExplainPath, strings.NewReader(question)))
		require.NotEqual(t, http.StatusOK, recorder.Code)
		require.NotContains(t, recorder.Body.String(), "sekret")
	}
	require.Contains(t, log.String(), "explanation refused")
	require.NotContains(t, log.String(), "sekret")
}
