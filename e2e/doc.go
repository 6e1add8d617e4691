// Package e2e holds failure tests that run several nodes against stand-ins: each injects
// a fault in the middle of an answer and checks that the caller receives its own answer
// completely.
package e2e
