package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonline/persimmonline/platform/platformtest"
)

// kind of route.
type kind string

const (
	unsafeCall   kind = "unsafe"
	safeCall     kind = "safe"
	resumable    kind = "resumable"
	nonResumable kind = "nonresumable"
)

// runsOnce says that a request of the kind may run once at most.
func (k kind) runsOnce() bool { return k == unsafeCall || k == nonResumable }

func (k kind) streams() bool { return k == resumable || k == nonResumable }

const (
	streamEvents = 6
	callerWait   = 3 * time.Second
	// workers are callers that use one connection each until it ends.
	workers = 10
	// thinkTime is the mean pause of a worker between two requests.
	thinkTime = 25 * time.Millisecond
)

// sent is one request as its caller saw it.
type sent struct {
	id       string
	kind     kind
	node     string
	start    int
	method   string
	target   string
	bodySum  uint64
	began    time.Time
	ended    time.Time
	status   int
	whole    bool
	wrong    string
	failure  error
	hasAfter bool
}

// callers send requests to the nodes in rotation.
type callers struct {
	world  *world
	next   atomic.Int64
	mu     sync.Mutex
	record []*sent
	// rotation are the nodes that the balancer sends new connections to.
	rotation atomic.Pointer[[]*node]
	workers  sync.WaitGroup
}

// balance follows the readiness of the nodes as the platform does: two misses in a row take
// a node out.
func (c *callers) balance(ctx context.Context) {
	misses := map[*node]int{}
	for ctx.Err() == nil {
		var in []*node
		for _, n := range c.world.nodes {
			if n.ready() {
				misses[n] = 0
			} else {
				misses[n]++
			}
			if misses[n] < 2 {
				in = append(in, n)
			}
		}
		if len(in) == 0 {
			in = c.world.nodes
		}
		c.rotation.Store(&in)
		sleep(ctx, time.Second)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// work sends requests one after the other, on one connection until it ends.
func (c *callers) work(ctx context.Context, random *rand.Rand) {
	defer c.workers.Done()
	var conn *connection
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.ExpFloat64()*float64(thinkTime)))
		if conn == nil || conn.used() {
			conn.close()
			in := *c.rotation.Load()
			conn = dial(in[random.IntN(len(in))])
			if conn == nil {
				continue
			}
		}
		c.send(conn, c.draw(random))
		if conn.broken {
			conn.close()
			conn = nil
		}
	}
	conn.close()
}

// draw makes a request.
func (c *callers) draw(random *rand.Rand) *sent {
	kinds := []kind{unsafeCall, safeCall, resumable, nonResumable}
	s := &sent{id: fmt.Sprintf("r-%d", c.next.Add(1)), kind: kinds[random.IntN(len(kinds))], method: http.MethodPost}
	if s.kind == safeCall {
		s.method = http.MethodGet
	}
	s.target = fmt.Sprintf("/%s/x?n=%d", s.kind, random.IntN(1000))
	return s
}

// connection is a caller's, without the repeats that an HTTP client makes by itself.
type connection struct {
	net.Conn
	node   *node
	start  int
	reader *bufio.Reader
	broken bool
	until  time.Time
}

func dial(n *node) *connection {
	conn, err := net.DialTimeout("tcp", n.caller(), time.Second)
	if err != nil {
		return nil
	}
	n.mu.Lock()
	start := n.starts
	n.mu.Unlock()
	return &connection{
		Conn: conn, node: n, start: start, reader: bufio.NewReader(conn),
		until: time.Now().Add(time.Duration(1+rand.IntN(6)) * time.Second),
	}
}

func (c *connection) used() bool { return time.Now().After(c.until) }

func (c *connection) close() {
	if c != nil {
		_ = c.Close()
	}
}

// send makes one request and notes what came of it.
func (c *callers) send(conn *connection, s *sent) {
	var body []byte
	if s.method == http.MethodPost {
		body = bytes.Repeat([]byte(s.id), 20)
	}
	s.node, s.start, s.bodySum, s.began = conn.node.name, conn.start, xxhash.Sum64(body), time.Now()
	c.mu.Lock()
	c.record = append(c.record, s)
	c.mu.Unlock()
	key := c.world.key.Load()
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n"+
		"Authorization: Bearer %s\r\nX-Tenant: smuggled\r\nContent-Length: %d\r\n\r\n",
		s.method, s.target, s.id, callerWait.Milliseconds(), *key, len(body))
	failure := conn.SetDeadline(time.Now().Add(callerWait + 2*time.Second))
	if failure == nil {
		_, failure = conn.Write(append([]byte(head), body...))
	}
	if failure == nil {
		failure = s.read(conn)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.ended, s.failure = time.Now(), failure
	conn.broken = conn.broken || failure != nil
}

// read takes the answer.
func (s *sent) read(conn *connection) error {
	response, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		return fmt.Errorf("no answer: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	s.status, s.hasAfter = response.StatusCode, response.Header.Get("Retry-After") != ""
	conn.broken = response.Close
	if s.status == http.StatusOK {
		s.judge(response, body, err)
	}
	if err != nil {
		return fmt.Errorf("cut in the answer: %w", err)
	}
	s.whole = true
	return nil
}

// judge compares a success with what the engines send.
func (s *sent) judge(response *http.Response, body []byte, err error) {
	want := platformtest.PlainAnswer(s.id, s.method, s.target, s.bodySum)
	if s.kind.streams() {
		var text strings.Builder
		for event := 1; event <= streamEvents; event++ {
			text.WriteString(platformtest.Event(s.id, event))
		}
		want = text.String()
	}
	switch {
	case response.Header.Get("X-Response-Signature") == "":
		s.wrong = "a success without the engine's signature"
	case response.Header.Get("X-Request-Id") != s.id:
		s.wrong = "the answer of request " + response.Header.Get("X-Request-Id")
	case err == nil && string(body) != want:
		s.wrong = fmt.Sprintf("body %q looks complete", body)
	case err != nil && !strings.HasPrefix(want, string(body)):
		s.wrong = fmt.Sprintf("the part %q is not the engine's", body)
	}
}

// all returns the requests that have ended.
func (c *callers) all() []*sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*sent(nil), c.record...)
}
