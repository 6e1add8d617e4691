package netopt

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// DialFunc opens a connection; it has the signature of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ReportResets returns a dial whose connections end a read with io.EOF only if the peer has ended its side.
//
// The kernel reports the failure of a connection once, to the system call that meets it first. If that is a write
// of a request's body, a read of the answer gets the rest of the received bytes and an end that looks regular.
func ReportResets(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: inner}, nil
	}
}

// conn is a connection that one goroutine reads while another writes.
type conn struct {
	net.Conn

	// writing is held during a write, and guards writeErr, the error of the first write that failed.
	writing  sync.Mutex
	writeErr error
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if cause := c.failure(); cause != nil {
			err = fmt.Errorf("connection failed during a write: %w", cause)
		}
	}
	return n, err
}

// failure returns the error of a write that explains the end of the received bytes; nil if the peer has ended its
// side.
func (c *conn) failure() error {
	if !c.writing.TryLock() {
		if isHalfClosed(c.Conn) {
			return nil
		}
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	if errors.Is(c.writeErr, syscall.EPIPE) {
		// A reset that follows the peer's end is reported as EPIPE.
		return nil
	}
	return c.writeErr
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if inner, ok := c.Conn.(syscall.Conn); ok {
		return inner.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// SetLinger is that of net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	if inner, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return inner.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// isHalfClosed reports whether the peer has ended its side of a connection that is still open.
func isHalfClosed(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	halfClosed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		halfClosed = err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return err == nil && halfClosed
}
