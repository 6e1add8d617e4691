package telemetry

import (
	"context"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/persimmonline/persimmonline/internal/netopt"
)

// Directions of control traffic.
const (
	directionSent     = "sent"
	directionReceived = "received"
)

// controlDialTimeout bounds the dialling of a connection for control traffic.
const controlDialTimeout = 2 * time.Second

// ControlDial returns a dialer whose connections count all their bytes, including headers,
// as control traffic of a kind.
func (m *Metrics) ControlDial(kind string) netopt.DialFunc {
	dial := netopt.ReportResets((&net.Dialer{Timeout: controlDialTimeout}).DialContext)
	sent := m.ControlBytes.WithLabelValues(directionSent, kind)
	received := m.ControlBytes.WithLabelValues(directionReceived, kind)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, sent: sent, received: received}, nil
	}
}

// CountControlBytes counts the bytes of one answered request as control traffic.
func (m *Metrics) CountControlBytes(kind string, received, sent int64) {
	m.ControlBytes.WithLabelValues(directionReceived, kind).Add(float64(received))
	m.ControlBytes.WithLabelValues(directionSent, kind).Add(float64(sent))
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	sent, received prometheus.Counter
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(float64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(float64(n))
	return n, err
}
