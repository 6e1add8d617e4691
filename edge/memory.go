package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/persimmonline/persimmonline/memory"
)

const (
	// accountDivisor gives the part of the process's memory for what others send. Another part is for
	// connections; the rest is for the code, the process's own state and garbage.
	accountDivisor = 4
	// defaultAccountBytes is the account's budget if the settings name no memory.
	defaultAccountBytes = 64 << 20
)

// accountBudget returns the bytes that other parties may make the process hold.
func accountBudget(memoryBytes int64) int64 {
	if memoryBytes <= 0 {
		return defaultAccountBytes
	}
	return memoryBytes / accountDivisor
}

// registerMemory registers the metrics of the account and of the callers' connections.
func registerMemory(registry prometheus.Registerer, account *memory.Account, callers *connections) {
	gauge := func(name, help string, value func() float64) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "persimmonline_edge_" + name, Help: help}, value))
	}
	counter := func(name, help string, value func() float64) {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "persimmonline_edge_" + name, Help: help}, value))
	}
	gauge("memory_reserved_bytes", "Bytes that other parties make this process hold.", func() float64 { return float64(account.Stats().Reserved) })
	gauge("memory_budget_bytes", "The most of these bytes.", func() float64 { return float64(account.Stats().Budget) })
	counter("memory_denied_total", "Reservations that found no room.", func() float64 { return float64(account.Stats().Denied) })
	counter("uploads_yielded_total", "Stalled uploads that gave their room to others.", func() float64 { return float64(account.Stats().Yielded) })
	gauge("caller_connections", "Open connections of callers.", func() float64 {
		open, _ := callers.counts()
		return float64(open)
	})
	counter("caller_connections_refused_total", "Connections that found all places taken by requests.", func() float64 {
		_, stats := callers.counts()
		return float64(stats.refused)
	})
	counter("caller_connections_evicted_total", "Waiting connections that were closed for others, or for a slow head.", func() float64 {
		_, stats := callers.counts()
		return float64(stats.evicted)
	})
	counter("heads_refused_total", "Heads that were not read to their end.", func() float64 {
		_, stats := callers.counts()
		return float64(stats.headsRefused)
	})
}
