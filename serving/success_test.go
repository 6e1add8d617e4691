package serving_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// A part that all prompts share is refused for as long as the answers under way take to complete.
func TestAnswerThatGoesOnIsASuccessOfItsParts(t *testing.T) {
	release := make(chan struct{})
	d := deploy(t, 1, func(_ *deployment, _ int64, w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Response-Signature", "sig")
		controller := http.NewResponseController(w)
		for event := 1; r.Context().Err() == nil; event++ {
			_, _ = w.Write([]byte(stream(event, event)))
			_ = controller.Flush()
			select {
			case <-release:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	})
	config := *d.view.Load().Table.Config
	for i := range config.Routes {
		config.Routes[i].Timeout = 20 * time.Second
	}
	d.publish(&config, d.view.Load().Fleet.ByService["s"])
	succeeded := func() bool { return !d.successes.Last(xxhash.Sum64String("part\naa")).IsZero() }
	ended := make(chan reply)
	go func() { ended <- d.call(context.Background(), "stream", withParts("id-1", "aa:100,c1:10")) }()
	time.Sleep(500 * time.Millisecond)
	require.False(t, succeeded(), "the request may still crash its upstream")
	require.Eventually(t, succeeded, 5*time.Second, 10*time.Millisecond)
	at := d.successes.Last(xxhash.Sum64String("part\naa"))
	close(release)
	require.NoError(t, (<-ended).err)
	require.Equal(t, at, d.successes.Last(xxhash.Sum64String("part\naa")), "its end tells nothing new of requests that begin now")
}
