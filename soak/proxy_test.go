package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy forwards connections on loopback, and delays, resets or silences them on demand.
type proxy struct {
	listener net.Listener
	target   string
	delay    atomic.Int64
	// up and down are cut when set: bytes toward the target or back are swallowed.
	cutUp, cutDown atomic.Bool

	mu    sync.Mutex
	pairs map[*pair]bool
}

// pair is one forwarded connection.
type pair struct {
	near, far net.Conn
	silent    atomic.Bool
}

func startProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, pairs: map[*pair]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(near)
	}
}

func (p *proxy) forward(near net.Conn) {
	far, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(near)
		return
	}
	link := &pair{near: near, far: far}
	p.mu.Lock()
	p.pairs[link] = true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.copy(far, near, link, &p.cutUp); done <- struct{}{} }()
	go func() { p.copy(near, far, link, &p.cutDown); done <- struct{}{} }()
	<-done
	<-done
	_ = near.Close()
	_ = far.Close()
	p.mu.Lock()
	delete(p.pairs, link)
	p.mu.Unlock()
}

// copy forwards one direction to its end, which it passes on.
func (p *proxy) copy(to, from net.Conn, link *pair, cut *atomic.Bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			time.Sleep(time.Duration(p.delay.Load()))
			if cut.Load() || link.silent.Load() {
				continue
			}
			if _, werr := to.Write(buffer[:n]); werr != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				reset(to)
			} else if tcp, ok := to.(*net.TCPConn); ok && !link.silent.Load() {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// silence swallows all further bytes of the connections that are open; new ones work.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for link := range p.pairs {
		link.silent.Store(true)
	}
}

// resetAll resets the connections that are open.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for link := range p.pairs {
		reset(link.near)
		reset(link.far)
	}
}

// heal ends delays and cuts.
func (p *proxy) heal() {
	p.delay.Store(0)
	p.cutUp.Store(false)
	p.cutDown.Store(false)
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetAll()
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
