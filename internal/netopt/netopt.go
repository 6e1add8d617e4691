// Package netopt dials and listens on TCP with options that end connections whose
// other side has fallen silent.
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
	// unackedTimeout ends a connection whose bytes are not acknowledged (TCP_USER_TIMEOUT).
	unackedTimeout = 2 * time.Second
	// probeIdle, probeInterval and probeCount find a silent connection that only reads
	// within three seconds; one second is the kernel's finest step.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 64 << 10
)

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}

// Dialer returns a dialer with a timeout for the handshake.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: control}
}

// Client returns an HTTP client that keeps up to idle connections to each host, each for
// idleTimeout.
func Client(dialTimeout, idleTimeout time.Duration, idle int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: Dialer(dialTimeout).DialContext, MaxIdleConnsPerHost: idle,
		IdleConnTimeout: idleTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

// Listen listens on a TCP address.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: control}
	return config.Listen(ctx, "tcp", address)
}

func control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// IsIdle says whether an idle connection is still open and has no bytes to read.
func IsIdle(conn net.Conn) bool {
	holder, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
	})
	return err == nil && quiet
}
