package serving_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

const unframedHead = "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Request-Id: id-1\r\n\r\n"

// dies ends the upstream that runs the request between two events of an unframed answer.
func dies(d *deployment, _ int64, w http.ResponseWriter, r *http.Request) {
	_ = d.listenerOf(r).Close()
	hijack(w, unframedHead+stream(1, 3))
}

// diesSlowly does the same, but the kernel closes the connections a while before the address.
func diesSlowly(while time.Duration) behaviour {
	return func(d *deployment, _ int64, w http.ResponseWriter, r *http.Request) {
		listener := d.listenerOf(r).(*net.TCPListener)
		// Nobody accepts the connections that arrive until the address is closed.
		_ = listener.SetDeadline(time.Now().Add(-time.Second))
		hijack(w, unframedHead+stream(1, 3))
		time.Sleep(while)
		_ = listener.Close()
	}
}

// diesInConnect does the same, and the kernel forgets a connection that arrives just then.
func diesInConnect(d *deployment, _ int64, w http.ResponseWriter, r *http.Request) {
	listener := d.listenerOf(r).(*net.TCPListener)
	_ = listener.SetDeadline(time.Now().Add(-time.Second))
	hijack(w, unframedHead+stream(1, 3))
	_ = listener.SetDeadline(time.Now().Add(5 * time.Millisecond))
	if conn, err := listener.Accept(); err == nil {
		d.t.Cleanup(func() { _ = conn.Close() })
	}
	_ = listener.Close()
}

// listenerOf returns the listener of the upstream that a request has reached.
func (d *deployment) listenerOf(r *http.Request) net.Listener {
	address := r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
	for _, server := range d.servers {
		if server.Listener.Addr().String() == address {
			return server.Listener
		}
	}
	return nil
}

// Guards against a stream that looks complete although its upstream crashed between two events.
func TestUnframedStreamOfACrashedUpstreamDoesNotLookComplete(t *testing.T) {
	for name, crash := range map[string]behaviour{
		"address first":                    dies,
		"connections first":                diesSlowly(5 * time.Millisecond),
		"connections first, host has load": diesSlowly(60 * time.Millisecond),
		"a connection stays open":          diesInConnect,
	} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, 2, crash)
			got := d.call(context.Background(), "stream", nil)
			require.Error(t, got.err)
			require.Equal(t, stream(1, 3), got.body)
			require.Equal(t, 1, d.events.count(func(e *events) int { return e.broken }))
		})
	}
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
