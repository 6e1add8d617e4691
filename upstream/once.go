package upstream

import (
	"net/http"
	"sync"

	"github.com/zeromicro/go-zero/rest/httpc"
)

// Once sends requests that may not be repeated, each on a connection of its own.
// net/http replays a request on a reused connection when it carries an
// Idempotency-Key or when the connection was closed; a new one rules that out.
type Once struct {
	owner  string
	client *http.Client
	mu     sync.Mutex
	conns  map[string]*Conn
}

// NewOnce returns a sender for a node; owner keeps the breakers of several nodes in
// one process apart.
func NewOnce(owner string) *Once {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.DisableCompression = true
	transport.DisableKeepAlives = true
	client := &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Once{owner: owner, client: client, conns: map[string]*Conn{}}
}

// Do sends a request to an address, once. The error is an *Error that says whether
// it may have run.
func (o *Once) Do(address, step string, request *http.Request) (*http.Response, error) {
	request.GetBody = nil
	return o.conn(address).Do(step, request)
}

func (o *Once) conn(address string) *Conn {
	o.mu.Lock()
	defer o.mu.Unlock()
	conn, ok := o.conns[address]
	if !ok {
		conn = &Conn{
			address:   address,
			transport: o.client.Transport.(*http.Transport),
			service:   httpc.NewServiceWithClient(o.owner+" once to "+address, o.client),
		}
		o.conns[address] = conn
	}
	return conn
}
