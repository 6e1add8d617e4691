// Package modelcheck explores the states of the decision code for claims, leases and
// the configuration fold. It contains only tests: exhaustive ones for small systems and
// random walks for larger ones.
package modelcheck
