package hostile

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startFaultyUpstream registers an upstream that answers each request with raw bytes and leaves the
// connection open. It returns once the process knows of it.
func startFaultyUpstream(t *testing.T, p *process, write func(conn io.Writer, id string)) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	var known atomic.Bool
	serve := func(conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if known.Load() {
			write(conn, request.Header.Get("X-Request-Id"))
			return
		}
		_, _ = fmt.Fprintf(conn, answerHead+"Content-Length: 0\r\nConnection: close\r\n\r\n", "200 OK", request.Header.Get("X-Request-Id"))
		_ = conn.Close()
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go serve(conn)
		}
	}()
	p.register("faulty", listener.Addr().String())
	require.Eventually(t, func() bool { return p.request("/faulty/x") == http.StatusOK }, hangTime, 50*time.Millisecond)
	known.Store(true)
}

const answerHead = "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Response-Signature: s\r\n"

// writeLong returns an upstream's answer that repeats unit after its first fields, for 12 MB.
func writeLong(status, fields, unit string) func(io.Writer, string) {
	block := strings.Repeat(unit, 64<<10/len(unit))
	return func(conn io.Writer, id string) {
		_, err := fmt.Fprintf(conn, answerHead+fields, status, id)
		for written := 0; err == nil && written < 12<<20; written += len(block) {
			_, err = io.WriteString(conn, block)
		}
	}
}

// askFaulty sends requests to the faulty upstream and leaves them open.
func askFaulty(t *testing.T, p *process, path string, size int) {
	crowd(t, p.callers, size, send(requestHead(path, "busy", "Content-Length: 1\r\n\r\n"), "x"))
	time.Sleep(2 * settle)
}

func TestAnswersWithoutEnd(t *testing.T) {
	p := startProcess(t)
	startFaultyUpstream(t, p, writeLong("200 OK", "\r\n", "x"))
	askFaulty(t, p, "/faulty/x", 40)
	p.requireSound(t)
}

func TestFailuresWithoutEnd(t *testing.T) {
	p := startProcess(t)
	startFaultyUpstream(t, p, writeLong("500 Internal Server Error", "\r\n", "x"))
	askFaulty(t, p, "/stream/x", 40)
	p.requireSound(t)
}

func TestEventsWithoutEnd(t *testing.T) {
	p := startProcess(t)
	event := "data: " + strings.Repeat("x", 1_000_000)
	startFaultyUpstream(t, p, func(conn io.Writer, id string) {
		_, _ = fmt.Fprintf(conn, answerHead+"Content-Type: text/event-stream\r\n\r\n%s", "200 OK", id, event)
	})
	askFaulty(t, p, "/stream/x", 110)
	p.requireSound(t)
}

func TestHeadsOfAnswersWithoutEnd(t *testing.T) {
	p := startProcess(t)
	fields := distinctFields(60 << 10)
	startFaultyUpstream(t, p, func(conn io.Writer, id string) { _, _ = fmt.Fprintf(conn, answerHead+"%s", "200 OK", id, fields) })
	askFaulty(t, p, "/faulty/x", 110)
	p.requireSound(t)
}

func TestRefusalsWithoutEnd(t *testing.T) {
	p := startProcess(t)
	startFaultyUpstream(t, p, writeLong("503 Service Unavailable", "X-Not-Executed: 1\r\n\r\n", "x"))
	askFaulty(t, p, "/faulty/x", 40)
	p.requireSound(t)
}

func TestLateAnswersOfOthersWithoutEnd(t *testing.T) {
	p := startProcess(t)
	long := writeLong("200 OK", "Content-Length: 16000000\r\n\r\n", "x")
	startFaultyUpstream(t, p, func(conn io.Writer, _ string) { long(conn, "another") })
	askFaulty(t, p, "/faulty/x", 40)
	p.requireSound(t)
}
