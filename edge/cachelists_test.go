package edge

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/platform"
)

const engineConfigText = `{"version":1,"routes":[],"services":[{"name":"s","engine":{"slots":4,"kvCapacity":100000}},{"name":"plain"}],"limits":{},"tenants":[]}`

// A node that starts asks the engines that ran before it what they have cached, and plain services and
// new engines nothing.
func TestNodeThatStartsAsksEnginesForTheirCachedParts(t *testing.T) {
	var lists, others atomic.Int32
	serve := func(counter *atomic.Int32) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			counter.Add(1)
			_, _ = io.WriteString(w, `{"held":[["","5c1e07a2",800,"m"]]}`)
		}))
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	store := newStore(t)
	store.PublishConfig([]byte(engineConfigText))
	store.register("old", serve(&lists))
	entry := `{"service":"%s","address":"%s","zone":"z","slots":4,"phase":"ready","sequence":1,"born":%d}`
	store.Put(platform.TopicRegistry, "new", fmt.Appendf(nil, entry, "s", serve(&others), time.Now().UnixMilli()))
	store.Put(platform.TopicRegistry, "plain", fmt.Appendf(nil, entry, "plain", serve(&others), 1700000000000))
	e, _ := start(t, settings(t, "n", store.address()))
	require.Eventually(t, func() bool {
		view := e.view.Load()
		return view != nil && len(view.CacheLists) == 1
	}, eventually, 5*time.Millisecond)
	require.Equal(t, map[string]int{"5c1e07a2": 800}, e.view.Load().CacheLists[0].Parts)
	require.EqualValues(t, 1, lists.Load())
	require.Zero(t, others.Load())
}
