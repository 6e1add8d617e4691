package edge

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// idleServer starts a server and returns a connection to it. before runs ahead of the ConnState hook
// of the idle connections.
func idleServer(t *testing.T, idle *idleConnections, before func(state http.ConnState)) net.Conn {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(50 * time.Millisecond):
			_, _ = io.WriteString(w, "done")
		}
	}))
	server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		before(state)
		idle.connStateChanged(conn, state)
	}
	server.Start()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func roundTrip(t *testing.T, conn net.Conn, reader *bufio.Reader) error {
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// A request may already have been read while its connection still counts as idle and is being
// closed.
func TestRequestThatMeetsTheEndOfItsIdleConnectionIsServed(t *testing.T) {
	idle := newIdleConnections()
	requests := 0
	conn := idleServer(t, idle, func(state http.ConnState) {
		if state != http.StateActive {
			return
		}
		if requests++; requests == 2 {
			idle.expire(0)
		}
	})
	reader := bufio.NewReader(conn)
	for range 3 {
		require.NoError(t, roundTrip(t, conn, reader))
	}
	require.Empty(t, idle.expired)
}

func TestIdleConnectionIsClosed(t *testing.T) {
	idle := newIdleConnections()
	conn := idleServer(t, idle, func(http.ConnState) {})
	reader := bufio.NewReader(conn)
	require.NoError(t, roundTrip(t, conn, reader))
	require.Eventually(t, func() bool {
		idle.mu.Lock()
		defer idle.mu.Unlock()
		return len(idle.idleSince) == 1
	}, time.Second, time.Millisecond)
	idle.expire(time.Hour)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err := reader.ReadByte()
	require.ErrorContains(t, err, "timeout", "it is still open")
	idle.expire(0)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.Eventually(t, func() bool {
		idle.mu.Lock()
		defer idle.mu.Unlock()
		return len(idle.idleSince) == 0 && len(idle.expired) == 0
	}, time.Second, time.Millisecond)
}
