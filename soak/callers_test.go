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

// kind is the kind of a route.
type kind string

const (
	unsafeCall   kind = "unsafe"
	safeCall     kind = "safe"
	resumable    kind = "resumable"
	nonResumable kind = "nonresumable"
)

// atMostOnce reports whether a request of the kind may run at most once.
func (k kind) atMostOnce() bool { return k == unsafeCall || k == nonResumable }

func (k kind) streams() bool { return k == resumable || k == nonResumable }

const (
	streamEvents  = 6
	callerTimeout = 3 * time.Second
	// workers is the number of concurrent callers, with one connection each.
	workers = 10
	// thinkTime is a worker's mean pause between two requests.
	thinkTime = 25 * time.Millisecond
)

// sentRequest is a request and its result as seen by the caller. start counts the starts of the node's
// process, so that node and start identify the process.
type sentRequest struct {
	id      string
	kind    kind
	node    string
	start   int
	method  string
	target  string
	bodySum uint64
	// prefix lists the parts of its prompt; empty for a plain call.
	prefix        string
	began         time.Time
	ended         time.Time
	status        int
	complete      bool
	mismatch      string
	failure       error
	hasRetryAfter bool
}

// callers send requests to the nodes in rotation.
type callers struct {
	world    *world
	lastID   atomic.Int64
	mu       sync.Mutex
	requests []*sentRequest
	// rotation holds the nodes to which the load balancer sends new connections.
	rotation atomic.Pointer[[]*node]
	workers  sync.WaitGroup
}

// balance polls the readiness of the nodes as the platform does: a node leaves the rotation after two
// consecutive failures.
func (c *callers) balance(ctx context.Context) {
	misses := map[*node]int{}
	for ctx.Err() == nil {
		var rotation []*node
		for _, n := range c.world.nodes {
			if n.ready() {
				misses[n] = 0
			} else {
				misses[n]++
			}
			if misses[n] < 2 {
				rotation = append(rotation, n)
			}
		}
		if len(rotation) == 0 {
			rotation = c.world.nodes
		}
		c.rotation.Store(&rotation)
		sleep(ctx, time.Second)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// work sends requests sequentially, on one connection until it breaks or expires.
func (c *callers) work(ctx context.Context, random *rand.Rand) {
	defer c.workers.Done()
	var conn *connection
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(random.ExpFloat64()*float64(thinkTime)))
		if conn == nil || conn.expired() {
			conn.close()
			rotation := *c.rotation.Load()
			conn = dial(rotation[random.IntN(len(rotation))])
			if conn == nil {
				continue
			}
		}
		c.send(conn, c.newRequest(random))
		if conn.broken {
			conn.close()
			conn = nil
		}
	}
	conn.close()
}

// newRequest returns a random request.
func (c *callers) newRequest(random *rand.Rand) *sentRequest {
	kinds := []kind{unsafeCall, safeCall, resumable, nonResumable}
	s := &sentRequest{id: fmt.Sprintf("r-%d", c.lastID.Add(1)), kind: kinds[random.IntN(len(kinds))], method: http.MethodPost}
	if s.kind == safeCall {
		s.method = http.MethodGet
	}
	s.target = fmt.Sprintf("/%s/x?n=%d", s.kind, random.IntN(1000))
	if s.kind.streams() {
		s.prefix = fmt.Sprintf("%s,%s:20", sharedParts(random), s.id)
	}
	return s
}

// sharedParts returns the parts that prompts have in common.
func sharedParts(random *rand.Rand) string {
	return fmt.Sprintf("system:200,subject%d:100", random.IntN(3))
}

// connection is a caller's connection, without the automatic retries of an HTTP client.
type connection struct {
	net.Conn
	node      *node
	start     int
	reader    *bufio.Reader
	broken    bool
	expiresAt time.Time
}

func dial(n *node) *connection {
	conn, err := net.DialTimeout("tcp", n.callerAddress(), time.Second)
	if err != nil {
		return nil
	}
	n.mu.Lock()
	start := n.starts
	n.mu.Unlock()
	return &connection{
		Conn: conn, node: n, start: start, reader: bufio.NewReader(conn),
		expiresAt: time.Now().Add(time.Duration(1+rand.IntN(6)) * time.Second),
	}
}

func (c *connection) expired() bool { return time.Now().After(c.expiresAt) }

func (c *connection) close() {
	if c != nil {
		_ = c.Close()
	}
}

// send sends one request and records its result.
func (c *callers) send(conn *connection, s *sentRequest) {
	var body []byte
	if s.method == http.MethodPost {
		body = bytes.Repeat([]byte(s.id), 20)
	}
	s.node, s.start, s.bodySum, s.began = conn.node.name, conn.start, xxhash.Sum64(body), time.Now()
	c.mu.Lock()
	c.requests = append(c.requests, s)
	c.mu.Unlock()
	key := c.world.key.Load()
	prompt := ""
	if s.prefix != "" {
		prompt = fmt.Sprintf("X-Token-Usage: 320,%d\r\nX-Prefix-Hash: %s\r\n", streamEvents, s.prefix)
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: soak.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n"+
		"Authorization: Bearer %s\r\nX-Tenant: smuggled\r\n%sContent-Length: %d\r\n\r\n",
		s.method, s.target, s.id, callerTimeout.Milliseconds(), *key, prompt, len(body))
	failure := conn.SetDeadline(time.Now().Add(callerTimeout + 2*time.Second))
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

// read reads the response.
func (s *sentRequest) read(conn *connection) error {
	response, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		return fmt.Errorf("read response headers: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	s.status, s.hasRetryAfter = response.StatusCode, response.Header.Get("Retry-After") != ""
	conn.broken = response.Close
	if s.status == http.StatusOK {
		s.verify(response, body, err)
	}
	if err != nil {
		return fmt.Errorf("read response body: %w", err)
	}
	s.complete = true
	return nil
}

// verify compares a successful response with what the engines send.
func (s *sentRequest) verify(response *http.Response, body []byte, err error) {
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
		s.mismatch = "successful response without the engine's signature"
	case response.Header.Get("X-Request-Id") != s.id:
		s.mismatch = "response to request " + response.Header.Get("X-Request-Id")
	case err == nil && string(body) != want:
		s.mismatch = fmt.Sprintf("body %q looks complete", body)
	case err != nil && !strings.HasPrefix(want, string(body)):
		s.mismatch = fmt.Sprintf("the part %q is not the engine's", body)
	}
}

// snapshot returns the requests sent so far.
func (c *callers) snapshot() []*sentRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*sentRequest(nil), c.requests...)
}
