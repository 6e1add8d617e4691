package upstream

import (
	"net/http"
	"sync"

	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/persimmonline/persimmonline/internal/netopt"
)

// OnceSender sends requests that may not be repeated, each on a connection of its own.
// net/http resends a request on a reused connection when it carries an
// Idempotency-Key or when the connection was closed; a new connection prevents that.
type OnceSender struct {
	owner     string
	transport *http.Transport
	client    *http.Client
	mu        sync.Mutex
	conns     map[string]*Conn
}

// NewOnceSender returns a sender for a node; owner separates the circuit breakers of several
// nodes in one process.
func NewOnceSender(owner string) *OnceSender {
	transport := netopt.Transport()
	transport.DisableCompression = true
	transport.DisableKeepAlives = true
	client := &http.Client{
		Transport:     netopt.Checked(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &OnceSender{owner: owner, transport: transport, client: client, conns: map[string]*Conn{}}
}

// Do sends a request to an address, once. The error is an *Error that reports whether
// it may have run.
func (o *OnceSender) Do(address, step string, request *http.Request) (*http.Response, error) {
	request.GetBody = nil
	return o.conn(address).Do(step, request)
}

func (o *OnceSender) conn(address string) *Conn {
	o.mu.Lock()
	defer o.mu.Unlock()
	conn, ok := o.conns[address]
	if !ok {
		conn = &Conn{
			address:   address,
			transport: o.transport,
			service:   httpc.NewServiceWithClient(o.owner+" once to "+address, o.client),
		}
		o.conns[address] = conn
	}
	return conn
}
