// Package netopt dials and listens on TCP with socket options that close connections to
// unresponsive peers, and provides HTTP clients that accept only valid answers.
package netopt

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// UnackedTimeout closes a connection whose data is not acknowledged (TCP_USER_TIMEOUT).
	UnackedTimeout = 2 * time.Second
	// probeIdle, probeInterval and probeCount detect within three seconds that the peer of a
	// connection that only reads is unresponsive; one second is the kernel's resolution.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// maxHeaderBytes bounds the head of an answer.
	maxHeaderBytes = 64 << 10
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}

// Dialer returns a dialer with a timeout for the handshake.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: control}
}

// Client returns an HTTP client that retains up to maxIdle idle connections to each host, each
// for idleTimeout.
func Client(dialTimeout, idleTimeout time.Duration, maxIdle int) *http.Client {
	return &http.Client{Transport: Checked(&http.Transport{
		DialContext: ReportResets(Dialer(dialTimeout).DialContext), MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout: idleTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	})}
}

// Transport returns net/http's default transport without a proxy, with a bound on heads and connections that
// report resets.
func Transport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.DialContext = ReportResets(transport.DialContext)
	transport.MaxResponseHeaderBytes = maxHeaderBytes
	return transport
}

// Listen listens on a TCP address.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: control}
	return config.Listen(ctx, "tcp", address)
}

func control(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// IsIdle reports whether a connection is open and has no bytes to read.
func IsIdle(conn net.Conn) bool {
	rawConn, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := rawConn.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = err == unix.EAGAIN
	})
	return err == nil && idle
}
