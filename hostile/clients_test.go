package hostile

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// requestHead returns the head of a request without the empty line that ends it.
func requestHead(path, key, fields string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: hostile\r\nAuthorization: Bearer " + key + "\r\n" + fields
}

const chunked = "Transfer-Encoding: chunked\r\n\r\n"

// crowd opens connections to an address, writes to each what write sends, and leaves them open until the
// test ends. It returns some time after all have sent what they could.
func crowd(t *testing.T, address string, size int, write func(conn io.Writer) error) {
	var pending sync.WaitGroup
	for range size {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			continue // The process may refuse a hostile client.
		}
		t.Cleanup(func() { _ = conn.Close() })
		require.NoError(t, conn.SetWriteDeadline(time.Now().Add(hangTime)))
		go func() { _, _ = io.Copy(io.Discard, conn) }()
		pending.Go(func() { _ = write(conn) })
	}
	pending.Wait()
	time.Sleep(settle)
}

// settle is how long a crowd stays open before the check; a check that comes too early passes.
const settle = time.Second

func send(parts ...string) func(io.Writer) error {
	return func(conn io.Writer) error {
		for _, part := range parts {
			if _, err := io.WriteString(conn, part); err != nil {
				return err
			}
		}
		return nil
	}
}

// distinctFields returns empty header fields of a total size.
func distinctFields(size int) string {
	var fields strings.Builder
	for i := 0; fields.Len() < size; i++ {
		fmt.Fprintf(&fields, "h%x:\r\n", i)
	}
	return fields.String()
}

func TestLargeChunksThatStopShortOfTheirEnd(t *testing.T) {
	p := startProcess(t)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("x", 64<<10))
	body := strings.Repeat(chunk, maxBody/(64<<10)-1)
	crowd(t, p.callers, 60, send(requestHead("/plain/x", "busy", chunked), body, "ffff\r\nxxx"))
	p.requireSound(t)
}

func TestOneByteChunksThatStopShortOfTheirEnd(t *testing.T) {
	p := startProcess(t)
	body := strings.Repeat("1\r\nx\r\n", 2<<20)
	crowd(t, p.callers, 60, send(requestHead("/plain/x", "busy", chunked), body, "1\r\n"))
	p.requireSound(t)
}

func TestLongBodiesThatStopShortOfTheirEnd(t *testing.T) {
	p := startProcess(t)
	head := requestHead("/plain/x", "busy", fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody))
	crowd(t, p.callers, 60, send(head, strings.Repeat("x", maxBody-1)))
	p.requireSound(t)
}

func TestHeadsOverTheLimit(t *testing.T) {
	p := startProcess(t)
	fields := distinctFields(250 << 10)
	crowd(t, p.callers, 220, func(conn io.Writer) error {
		if err := send(requestHead("/plain/x", "busy", fields))(conn); err != nil {
			return err
		}
		time.Sleep(settle) // All heads are there before the first ends.
		return send("\r\n")(conn)
	})
	p.requireSound(t)
}

func TestHeadsThatStopShortOfTheirEnd(t *testing.T) {
	p := startProcess(t)
	fields := distinctFields(250 << 10)
	crowd(t, p.callers, 220, send(requestHead("/plain/x", "busy", fields)))
	p.requireSound(t)
}

func TestHeadsWithoutEnd(t *testing.T) {
	p := startProcess(t)
	line := strings.Repeat("x", 1<<10)
	crowd(t, p.callers, 120, send(requestHead("/plain/x", "busy", "X-Long: "), strings.Repeat(line, 4<<10)))
	p.requireSound(t)
}

func TestEmptyLinesWithoutEnd(t *testing.T) {
	p := startProcess(t)
	lines := strings.Repeat("\r\n", 512<<10)
	crowd(t, p.callers, 120, send(lines, lines, lines, lines))
	p.requireSound(t)
}

func TestEmptyLinesAfterARequest(t *testing.T) {
	p := startProcess(t)
	lines := strings.Repeat("\r\n", 512<<10)
	crowd(t, p.callers, 120, send(requestHead("/plain/x", "busy", "Content-Length: 0\r\n\r\n"), lines, lines, lines, lines))
	p.requireSound(t)
}

func TestConnectionsThatSendNothing(t *testing.T) {
	p := startProcess(t)
	crowd(t, p.callers, 400, send(""))
	p.requireSound(t)
}

func TestConnectionsThatBeginAHead(t *testing.T) {
	p := startProcess(t)
	crowd(t, p.callers, 400, send("POST /plain/x HT"))
	p.requireSound(t)
}

func TestRefusedBodiesThatStall(t *testing.T) {
	p := startProcess(t)
	crowd(t, p.callers, 400, send(requestHead("/plain/x", "unknown", "Content-Length: 1000\r\n\r\n"), "x"))
	p.requireSound(t)
}

func TestMessagesOfFalsePeersThatStopShortOfTheirEnd(t *testing.T) {
	p := startProcess(t)
	head := "POST /v1/exchange HTTP/1.1\r\nHost: p\r\nContent-Length: 4194304\r\n\r\n"
	crowd(t, p.peerPort, 60, send(head, strings.Repeat("x", maxBody-1)))
	p.requireSound(t)
}

func TestHeadsOfFalsePeersWithoutEnd(t *testing.T) {
	p := startProcess(t)
	crowd(t, p.peerPort, 220, send("GET /v1/usage HTTP/1.1\r\nHost: p\r\n"+distinctFields(1000<<10)))
	p.requireSound(t)
}

// The bodies are within the limits, and all belong to one workspace.
func TestLongBodiesForSlowUpstreams(t *testing.T) {
	p := startProcess(t)
	head := requestHead("/plain/x", "busy", fmt.Sprintf("X-Work-Ms: 5000\r\nContent-Length: %d\r\n\r\n", maxBody))
	crowd(t, p.callers, 60, send(head, strings.Repeat("x", maxBody)))
	p.requireSound(t)
}

func TestRequestsThatStateManyTokens(t *testing.T) {
	p := startProcess(t)
	head := requestHead("/model/x", "busy", "X-Token-Usage: 100,10\r\nX-Prefix-Hash: aa:4294967295,bb:10\r\nContent-Length: 1\r\n\r\n")
	var pending sync.WaitGroup
	for range 4 {
		conn, err := net.Dial("tcp", p.callers)
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		require.NoError(t, conn.SetDeadline(time.Now().Add(hangTime)))
		require.NoError(t, send(head, "x")(conn))
		pending.Go(func() { _, _ = conn.Read(make([]byte, 1)) }) // Any answer, or the end.
	}
	pending.Wait()
	p.requireSound(t)
}

// A refusal must not leave the rest of a body to be read as the next request.
func TestRequestBehindARefusedBodyIsNotServed(t *testing.T) {
	p := startProcess(t)
	hidden := requestHead("/plain/hidden", "busy", "Content-Length: 0\r\n\r\n")
	refused := []string{
		requestHead("/plain/x", "unknown", chunked) + "5\r\nabcde\r\n0\r\n\r\n",
		requestHead("/plain/x", "busy", fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody+1)),
		requestHead("/plain/x", "busy", "X-Fill: "+strings.Repeat("f", maxHeader)+"\r\nContent-Length: 2000\r\n\r\n"),
	}
	for _, first := range refused {
		conn, err := net.Dial("tcp", p.callers)
		require.NoError(t, err)
		require.NoError(t, conn.SetDeadline(time.Now().Add(hangTime)))
		_, err = io.WriteString(conn, first+hidden)
		require.NoError(t, err)
		answers, _ := io.ReadAll(conn) // A reset is as good as an end.
		require.NoError(t, conn.Close())
		require.Equal(t, 1, bytes.Count(answers, []byte("HTTP/1.1 ")), "%s", answers)
	}
	p.requireSound(t)
}
