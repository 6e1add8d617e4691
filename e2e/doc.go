// Package e2e holds failure tests of several real nodes with stand-ins: each brings
// about one fault in the middle of an answer and checks that the caller gets the whole
// of its own answer.
package e2e
