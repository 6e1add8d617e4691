// Package hostile tests the daemon with clients and upstreams that keep to no limit. Each test starts the
// real process on loopback, with a small memory, and checks that it lives, stays within its memory and its
// descriptors, and answers an ordinary request.
package hostile
