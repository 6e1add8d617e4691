//go:build review

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// kind is a kind of request, as the pages of a deployment give it.
type kind struct {
	name, path, method string
	perSecond          float64
	limit              time.Duration
	// events and firstMS are the shape of the stream; 0 events for a plain call.
	events, firstMS int
	tokens, shared  int
	body            int
	// prefix returns the parts of the prompt but the last; nil for one part that few others share.
	prefix func() string
}

// outcome is what the client of a request saw.
type outcome struct {
	id, kind, node string
	sentAt         time.Time
	took           time.Duration
	// kept is set if the channel had carried a request before, status is 0 without an answer.
	kept   bool
	status int
	// closed is set if the node closed or reset the channel before any byte of an answer, cut if it did
	// in the middle of one.
	closed, cut bool
	// complete is set if the answer looked complete, events is the number of events in it.
	complete bool
	events   int
	err      error
}

// clients send requests to the nodes over channels that they keep.
type clients struct {
	world *world
	key   string
	host  string

	mu       sync.Mutex
	idle     map[*node][]*channel
	outcomes []outcome
	pending  sync.WaitGroup
	sequence atomic.Int64
	ended    atomic.Bool
}

// end ends the requests of run.
func (c *clients) end() { c.ended.Store(true) }

// channel is an open connection to a node.
type channel struct {
	net.Conn
	reader *bufio.Reader
	used   bool
	since  time.Time
}

func newClients(w *world, host, key string) *clients {
	return &clients{world: w, key: key, host: host, idle: map[*node][]*channel{}}
}

// run sends requests of a kind at its rate until a time.
func (c *clients) run(k kind, until time.Time) {
	for {
		time.Sleep(time.Duration(rand.ExpFloat64() / k.perSecond * float64(time.Second)))
		if time.Now().After(until) || c.ended.Load() {
			return
		}
		n := c.world.nodes[rand.IntN(len(c.world.nodes))]
		c.pending.Go(func() { c.send(k, n) })
	}
}

// maxKept is the longest time for which a client keeps an idle channel: four fifths of the limit.
const maxKept = 12 * time.Second

// channelTo returns a kept channel or opens one.
func (c *clients) channelTo(n *node) (*channel, error) {
	c.mu.Lock()
	for idle := c.idle[n]; len(idle) > 0; idle = c.idle[n] {
		last := idle[len(idle)-1]
		c.idle[n] = idle[:len(idle)-1]
		if time.Since(last.since) < maxKept && open(last) {
			c.mu.Unlock()
			return last, nil
		}
		_ = last.Close()
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", n.callers(), time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// open reports whether the node has not closed an idle channel.
func open(ch *channel) bool {
	_ = ch.SetReadDeadline(time.Now().Add(100 * time.Microsecond))
	_, err := ch.reader.Peek(1)
	_ = ch.SetReadDeadline(time.Time{})
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// send sends one request and reads its answer.
func (c *clients) send(k kind, n *node) {
	o := outcome{id: fmt.Sprintf("%s-%d", k.name, c.sequence.Add(1)), kind: k.name, node: n.name, sentAt: time.Now()}
	defer func() {
		o.took = time.Since(o.sentAt)
		c.mu.Lock()
		c.outcomes = append(c.outcomes, o)
		c.mu.Unlock()
	}()
	ch, err := c.channelTo(n)
	if err != nil {
		o.err = err
		return
	}
	o.kept = ch.used
	_ = ch.SetDeadline(o.sentAt.Add(k.limit))
	var request strings.Builder
	fmt.Fprintf(&request, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		k.method, k.path, c.host, o.id, k.limit.Milliseconds(), c.key)
	if k.events > 0 {
		prefix := fmt.Sprintf("a%d:%d", rand.IntN(100), k.shared)
		if k.prefix != nil {
			prefix = k.prefix()
		}
		fmt.Fprintf(&request, "X-Model: m\r\nX-Token-Usage: %d,%d\r\nX-Prefix-Hash: %s,%x:%d\r\nX-Review-Events: %d\r\nX-Review-First-Ms: %d\r\n",
			k.shared+k.tokens, k.events*6, prefix, rand.Uint64(), k.tokens, k.events, k.firstMS)
	}
	if k.method == http.MethodPost {
		fmt.Fprintf(&request, "Content-Length: %d\r\n", k.body)
	}
	request.WriteString("\r\n")
	if err := write(ch, request.String(), o.id, k.body); err != nil {
		o.closed, o.err = !timedOut(err), err
		_ = ch.Close()
		return
	}
	if _, err := ch.reader.Peek(1); err != nil {
		o.closed, o.err = !timedOut(err), err
		_ = ch.Close()
		return
	}
	response, err := http.ReadResponse(ch.reader, &http.Request{Method: k.method})
	if err != nil {
		o.cut, o.err = !timedOut(err), err
		_ = ch.Close()
		return
	}
	o.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	o.events = strings.Count(string(body), "id: ")
	if err != nil {
		o.cut, o.err = !timedOut(err), err
		_ = ch.Close()
		return
	}
	o.complete = true
	if response.Close {
		_ = ch.Close()
		return
	}
	_ = ch.SetDeadline(time.Time{})
	ch.used, ch.since = true, time.Now()
	c.mu.Lock()
	c.idle[n] = append(c.idle[n], ch)
	c.mu.Unlock()
}

// maxBody is the limit of the configuration; payload is what the bodies hold.
const maxBody = 4 << 20

var payload = bytes.Repeat([]byte("b"), maxBody)

// write sends the head and the body of a request. No two bodies are alike.
func write(ch *channel, head, id string, size int) error {
	text := head + id[:min(len(id), size)]
	rest := payload[:max(0, size-len(id))]
	if len(rest) < 64<<10 {
		_, err := ch.Write(append([]byte(text), rest...))
		return err
	}
	if _, err := io.WriteString(ch, text); err != nil {
		return err
	}
	_, err := ch.Write(rest)
	return err
}

func timedOut(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
