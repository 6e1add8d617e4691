// Package soak holds the fault soak: a randomized test that runs the real daemon as several
// processes on loopback, with stand-ins of the platform behind proxies, and checks what
// callers and engines see while processes, connections, the store and engines fail.
// See docs/SOAK.md.
package soak
