package relay_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/relay"
)

// listen starts a listener and passes each connection to a function, numbered from 1.
func listen(t *testing.T, serve func(number int, conn net.Conn)) relay.Upstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := 1; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(number, conn)
		}
	}()
	return relay.Upstream{Key: "u", Address: listener.Addr().String()}
}

// readHead reads the head of one request.
func readHead(conn net.Conn) string {
	buffer := make([]byte, 4096)
	text := ""
	for !strings.HasSuffix(text, "\r\n\r\n") {
		n, err := conn.Read(buffer)
		if err != nil {
			return ""
		}
		text += string(buffer[:n])
	}
	return text
}

const completeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func getCall() *relay.Call {
	return &relay.Call{Method: http.MethodGet, Target: "/a?b=%20", Host: "h", Header: http.Header{"X-A": {"1"}}, Repeatable: true}
}

func roundTrip(t *testing.T, pool *relay.Pool, to relay.Upstream) {
	t.Helper()
	answer, err := pool.Send(context.Background(), to, getCall())
	require.NoError(t, err)
	body, err := io.ReadAll(answer.Body())
	require.NoError(t, err)
	require.Equal(t, "ok", string(body))
	answer.Finish()
}

func TestConnectionIsUsedAgainAfterAWholeAnswer(t *testing.T) {
	heads := make(chan string, 2)
	to := listen(t, func(_ int, conn net.Conn) {
		for {
			head := readHead(conn)
			if head == "" {
				return
			}
			heads <- head
			_, _ = io.WriteString(conn, completeAnswer)
		}
	})
	pool := relay.NewPool()
	defer pool.Close()
	roundTrip(t, pool, to)
	roundTrip(t, pool, to)
	require.Equal(t, relay.Stats{Dialled: 1, Reused: 1}, pool.Stats())
	require.Equal(t, "GET /a?b=%20 HTTP/1.1\r\nHost: h\r\nX-A: 1\r\n\r\n", <-heads)
}

func TestConnectionsThatMayNotBeTrustedAreNotUsedAgain(t *testing.T) {
	cases := map[string]string{
		"bytes after the answer":  completeAnswer + "HTTP/1.1 200 OK\r\n",
		"connection: close":       "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"keep-alive timeout of 0": "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok",
	}
	for name, text := range cases {
		to := listen(t, func(_ int, conn net.Conn) {
			for readHead(conn) != "" {
				_, _ = io.WriteString(conn, text)
			}
		})
		pool := relay.NewPool()
		roundTrip(t, pool, to)
		roundTrip(t, pool, to)
		require.EqualValues(t, 2, pool.Stats().Dialled, name)
		pool.Close()
	}
}

func TestConnectionThatClosedOrSpokeWhileIdleIsPassedOver(t *testing.T) {
	for _, late := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"} {
		to := listen(t, func(_ int, conn net.Conn) {
			readHead(conn)
			_, _ = io.WriteString(conn, completeAnswer)
			time.Sleep(30 * time.Millisecond)
			_, _ = io.WriteString(conn, late)
			if late == "" {
				_ = conn.Close()
			}
		})
		pool := relay.NewPool()
		roundTrip(t, pool, to)
		time.Sleep(80 * time.Millisecond)
		roundTrip(t, pool, to)
		require.EqualValues(t, 2, pool.Stats().Dialled)
		pool.Close()
	}
}

func TestFailuresTellHowFarTheRequestGot(t *testing.T) {
	pool := relay.NewPool()
	defer pool.Close()
	_, err := pool.Send(context.Background(), relay.Upstream{Key: "x", Address: "127.0.0.1:1"}, getCall())
	var failure *relay.Error
	require.True(t, errors.As(err, &failure))
	require.True(t, failure.Unsent())

	to := listen(t, func(_ int, conn net.Conn) { readHead(conn); _ = conn.Close() })
	_, err = pool.Send(context.Background(), to, getCall())
	require.True(t, errors.As(err, &failure))
	require.False(t, failure.Unsent())
	require.EqualValues(t, 1, pool.Stats().Dialled, "the request is not resent")
}

// listenAndReset starts a listener that sends a part of an answer without a length and then resets the connection.
func listenAndReset(t *testing.T) relay.Upstream {
	return listen(t, func(_ int, conn net.Conn) {
		_, _ = conn.Read(make([]byte, 512))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	})
}

func TestAnswerThatIsResetIsNotComplete(t *testing.T) {
	to := listenAndReset(t)
	pool := relay.NewPool()
	defer pool.Close()
	answer, err := pool.Send(context.Background(), to, getCall())
	require.NoError(t, err)
	require.False(t, answer.Framed())
	_, err = io.ReadAll(answer.Body())
	require.Error(t, err)
	answer.Abort()
}

// A request that was given up while its link was cut reaches the upstream when the link heals.
func TestGivenUpRequestArrivesLater(t *testing.T) {
	for _, giveUp := range []string{"canceled", "answer aborted"} {
		received := make(chan error, 1)
		heal := make(chan struct{})
		to := listen(t, func(_ int, conn net.Conn) {
			if giveUp == "answer aborted" {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart")
			}
			<-heal
			_, err := io.ReadAll(conn)
			received <- err
		})
		pool := relay.NewPool()
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		answer, err := pool.Send(ctx, to, getCall())
		if err == nil {
			answer.Abort()
		}
		time.Sleep(50 * time.Millisecond)
		close(heal)
		require.ErrorIs(t, <-received, syscall.ECONNRESET, "%s: bytes that are still on their way must be discarded", giveUp)
		cancel()
		pool.Close()
	}
}

// Guards against reuse of a connection whose upstream answered before it had read a long
// body: the rest of the body must not become the next request.
func TestConnectionWhoseBodyIsNotWholeIsNotUsedAgain(t *testing.T) {
	to := listen(t, func(_ int, conn net.Conn) {
		buffer := make([]byte, 512)
		_, _ = conn.Read(buffer)
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nok")
		time.Sleep(time.Second)
	})
	pool := relay.NewPool()
	defer pool.Close()
	call := getCall()
	call.Method, call.Body = http.MethodPost, make([]byte, 16<<20)
	for range 2 {
		answer, err := pool.Send(context.Background(), to, call)
		require.NoError(t, err)
		_, err = io.ReadAll(answer.Body())
		require.NoError(t, err)
		answer.Finish()
	}
	require.EqualValues(t, 2, pool.Stats().Dialled)
}

func TestEndOfTheContextClosesTheConnection(t *testing.T) {
	closed := make(chan bool, 1)
	to := listen(t, func(_ int, conn net.Conn) {
		readHead(conn)
		_, err := conn.Read(make([]byte, 1))
		closed <- err != nil
	})
	pool := relay.NewPool()
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := pool.Send(ctx, to, getCall())
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.True(t, <-closed)
}

// Guards against an upstream that sends an endless head, which filled the memory until the
// request's deadline.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	for name, start := range map[string]string{
		"status line": "HTTP/1.1 200 ", "header": "HTTP/1.1 200 OK\r\nX-A: ", "headers": "HTTP/1.1 200 OK\r\n", "interim": "",
	} {
		t.Run(name, func(t *testing.T) {
			sent := make(chan int, 1)
			to := listen(t, func(_ int, conn net.Conn) {
				readHead(conn)
				total, _ := io.WriteString(conn, start)
				chunk := strings.Repeat("a", 1<<10)
				switch name {
				case "headers":
					chunk = strings.Repeat("X-B: "+strings.Repeat("b", 120)+"\r\n", 8)
				case "interim":
					chunk = "HTTP/1.1 103 Early Hints\r\nX-B: " + strings.Repeat("b", 16<<10) + "\r\n\r\n"
				}
				for {
					n, err := io.WriteString(conn, chunk)
					if total += n; err != nil {
						sent <- total
						return
					}
				}
			})
			pool := relay.NewPool()
			defer pool.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			began := time.Now()
			_, err := pool.Send(ctx, to, getCall())
			var failure *relay.Error
			require.ErrorAs(t, err, &failure)
			require.False(t, failure.Unsent(), "the upstream may have run the request")
			require.Less(t, time.Since(began), time.Second)
			select {
			case total := <-sent:
				require.Less(t, total, 16<<20, "little more than the socket buffers")
			case <-time.After(time.Second):
				t.Fatal("the connection is still open")
			}
		})
	}
}

// The bound on a head applies to each answer on a connection separately.
func TestBoundOfAHeadIsForOneAnswer(t *testing.T) {
	to := listen(t, func(_ int, conn net.Conn) {
		for readHead(conn) != "" {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-A: "+strings.Repeat("a", 40<<10)+"\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	pool := relay.NewPool()
	defer pool.Close()
	for range 4 {
		roundTrip(t, pool, to)
	}
}

// longUpload is a body that no socket buffer holds, so that its upload is under way while the answer comes.
func longUpload() *relay.Call {
	call := getCall()
	call.Method, call.Body = http.MethodPost, make([]byte, 16<<20)
	return call
}

// Guards against a reset that only the upload sees: the read of an answer without a length then meets an end that
// looks regular.
func TestAnswerThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	to := listenAndReset(t)
	pool := relay.NewPool()
	defer pool.Close()
	answer, err := pool.Send(t.Context(), to, longUpload())
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	_, err = io.ReadAll(answer.Body())
	require.ErrorIs(t, err, syscall.ECONNRESET)
	answer.Abort()
}

// An upstream that ends its answer before it has read the request may read on, stop reading or close.
func TestEarlyAnswerThatEndsRegularlyIsComplete(t *testing.T) {
	for name, end := range map[string]func(conn *net.TCPConn){
		"reads on":      func(conn *net.TCPConn) { _ = conn.CloseWrite(); _, _ = io.Copy(io.Discard, conn) },
		"stops reading": func(conn *net.TCPConn) { _ = conn.CloseWrite(); time.Sleep(time.Second) },
		"closes": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			_ = conn.SetLinger(0)
			_ = conn.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			to := listen(t, func(_ int, conn net.Conn) {
				_, _ = conn.Read(make([]byte, 512))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
				end(conn.(*net.TCPConn))
			})
			pool := relay.NewPool()
			defer pool.Close()
			answer, err := pool.Send(t.Context(), to, longUpload())
			require.NoError(t, err)
			time.Sleep(100 * time.Millisecond)
			began := time.Now()
			body, err := io.ReadAll(answer.Body())
			require.NoError(t, err)
			require.Equal(t, "whole", string(body))
			require.Less(t, time.Since(began), 500*time.Millisecond, "the answer does not wait for the upload")
			answer.Abort()
		})
	}
}

// requireNoAnswer requires that bytes in the place of an answer fail the call.
func requireNoAnswer(t *testing.T, text string) {
	t.Helper()
	to := listen(t, func(_ int, conn net.Conn) {
		readHead(conn)
		_, _ = io.WriteString(conn, text)
		_ = conn.Close()
	})
	pool := relay.NewPool()
	defer pool.Close()
	_, err := pool.Send(t.Context(), to, getCall())
	var failure *relay.Error
	require.ErrorAs(t, err, &failure)
	require.Equal(t, relay.StepRead, failure.Step)
}

// Guards against a status that is none, after which the bytes that follow pass for the answer.
func TestStatusThatIsNoneIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "-00", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			requireNoAnswer(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 38\r\n\r\n"+completeAnswer)
		})
	}
}

func TestInterimAnswersAreSkipped(t *testing.T) {
	to := listen(t, func(_ int, conn net.Conn) {
		readHead(conn)
		_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+completeAnswer)
	})
	pool := relay.NewPool()
	defer pool.Close()
	roundTrip(t, pool, to)
}

// Guards against a field that its reader does not know by its name: the line is passed on, or ignored though it is
// that of the body's length.
func TestFieldWhoseNameIsNoneMakesNoAnswer(t *testing.T) {
	for _, line := range []string{
		"X Bad: 1", "X-Bad : 1", " X-Bad: 1", "\tX-Bad: 1", "X\tBad: 1", "X-Bad\t: 1", "X\x00Bad: 1", "X\x01Bad: 1", "X\x7fBad: 1", "X\rBad: 1",
		"\rX-Bad: 1", "\x0bX-Bad: 1", "X(Bad): 1", ": 1", "X-Bad", " ", "\t", "Content-Length : 2", "Transfer-Encoding : chunked", " Content-Length: 2",
	} {
		t.Run(line, func(t *testing.T) {
			requireNoAnswer(t, "HTTP/1.1 200 OK\r\nX-A: 1\r\n"+line+"\r\nX-Z: 1\r\n\r\nok")
			requireNoAnswer(t, "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n"+line+"\r\n\r\n"+completeAnswer)
		})
	}
}

// The bodies of answers are no heads.
func TestBlankLinesOfABodyAreNoHead(t *testing.T) {
	const body = "\n a\n\n\tb\r\n c: d"
	to := listen(t, func(_ int, conn net.Conn) {
		for readHead(conn) != "" {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-A: \xe9\tx\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
		}
	})
	pool := relay.NewPool()
	defer pool.Close()
	for range 2 {
		answer, err := pool.Send(t.Context(), to, getCall())
		require.NoError(t, err)
		got, err := io.ReadAll(answer.Body())
		require.NoError(t, err)
		require.Equal(t, body, string(got))
		answer.Finish()
	}
	require.EqualValues(t, 1, pool.Stats().Dialled)
}

// Guards against an answer whose head ends early and that looks whole, as one with a short body.
func TestHeadThatEndsEarlyMakesNoAnswer(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Length: 12\r\n\r\n", "HTTP/1.1 200 OK\nX-A: 1\n\n", "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		for end := range len(head) {
			requireNoAnswer(t, head[:end])
		}
	}
}
