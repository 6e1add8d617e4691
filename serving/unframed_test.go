package serving_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

const unframedHead = "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Request-Id: id-1\r\n\r\n"

// dies ends the upstream that runs the request between two events of an unframed answer.
func dies(d *deployment, _ int64, w http.ResponseWriter, r *http.Request) {
	for _, server := range d.servers {
		if server.Listener.Addr().String() == r.Context().Value(http.LocalAddrContextKey).(interface{ String() string }).String() {
			_ = server.Listener.Close()
		}
	}
	hijack(w, unframedHead+stream(1, 3))
}

// Guards against a stream that looks complete although its upstream crashed between two events.
func TestUnframedStreamOfACrashedUpstreamDoesNotLookComplete(t *testing.T) {
	d := deploy(t, 2, dies)
	got := d.call(context.Background(), "stream", nil)
	require.Error(t, got.err)
	require.Equal(t, stream(1, 3), got.body)
	require.Equal(t, 1, d.events.count(func(e *events) int { return e.broken }))
}

// Guards against the same where the stream may continue at another upstream.
func TestUnframedStreamOfACrashedUpstreamGoesOnElsewhere(t *testing.T) {
	d := deploy(t, 2, firstThen(dies, continuesStream))
	got := d.call(context.Background(), "resume", nil)
	require.NoError(t, got.err)
	require.Equal(t, stream(1, 6), got.body)
}

// Guards against sound requests that are refused because none of their answers counts as complete.
func TestUnframedAnswerOfALiveUpstreamIsASuccess(t *testing.T) {
	for _, route := range []string{"safe", "stream"} {
		t.Run(route, func(t *testing.T) {
			d := deploy(t, 1, func(_ *deployment, _ int64, w http.ResponseWriter, _ *http.Request) {
				hijack(w, unframedHead+stream(1, 3))
			})
			require.NoError(t, d.call(context.Background(), route, withParts("id-1", "aa:100,c1:10")).err)
			require.False(t, d.successes.Last(xxhash.Sum64String("part\naa")).IsZero())
		})
	}
}
