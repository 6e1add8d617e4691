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

	"github.com/persimmonline/persimmonline/memory"
)

// idleServer starts a server and returns its connections and one to it. before runs ahead of the ConnState hook.
func idleServer(t *testing.T, before func(server *connections, state http.ConnState)) (*connections, net.Conn) {
	guarded := newConnections(1, memory.New(1<<20), func() int { return defaultMaxHeaderBytes })
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(50 * time.Millisecond):
			_, _ = io.WriteString(w, "done")
		}
	}))
	server.Config.ConnState = func(conn net.Conn, state http.ConnState) {
		before(guarded, state)
		guarded.stateChanged(conn, state)
	}
	guarded.Listener = server.Listener
	server.Listener = guarded
	server.Start()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return guarded, conn
}

// idleAndEnded returns the number of connections that wait for a further request, and of those that were told to end.
func (c *connections) idleAndEnded() (idle, ended int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if conn.phase == phaseIdle {
			idle++
		}
	}
	return idle, c.ended
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
	requests := 0
	server, conn := idleServer(t, func(server *connections, state http.ConnState) {
		if state != http.StateActive {
			return
		}
		if requests++; requests == 2 {
			server.endIdle(0, time.Now())
		}
	})
	reader := bufio.NewReader(conn)
	for range 3 {
		require.NoError(t, roundTrip(t, conn, reader))
	}
	_, ended := server.idleAndEnded()
	require.Zero(t, ended)
}

func TestIdleConnectionIsClosed(t *testing.T) {
	server, conn := idleServer(t, func(*connections, http.ConnState) {})
	reader := bufio.NewReader(conn)
	require.NoError(t, roundTrip(t, conn, reader))
	require.Eventually(t, func() bool {
		idle, _ := server.idleAndEnded()
		return idle == 1
	}, time.Second, time.Millisecond)
	server.endIdle(time.Hour, time.Now())
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err := reader.ReadByte()
	require.ErrorContains(t, err, "timeout", "it is still open")
	server.endIdle(0, time.Now())
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.Eventually(t, func() bool {
		idle, ended := server.idleAndEnded()
		return idle == 0 && ended == 0
	}, time.Second, time.Millisecond)
}
