// Package modelcheck explores the states of the decision code for claims, leases and
// the configuration fold. It has tests only: exhaustive ones for small systems and
// random walks beyond.
package modelcheck
