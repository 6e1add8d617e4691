// Package idempotency decides which node may send a call that may not be repeated,
// and the answer to a repeat of such a call. It is pure: it has no clock, opens no
// connection and starts no goroutine.
package idempotency

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

const (
	// MaxKeyBytes bounds a caller's key.
	MaxKeyBytes = 255
	// ClockSkew bounds the difference between a caller's clock and the log's.
	ClockSkew = 5 * time.Minute
	// idBytes is the length of the hash that identifies a workspace's key.
	idBytes = 16
)

// ID is the hash of a workspace and a key.
type ID string

// IDOf returns the id of a workspace's key.
func IDOf(workspace, key string) ID {
	sum := digest(workspace, key).Sum(nil)
	return ID(hex.EncodeToString(sum[:idBytes]))
}

// Fingerprint returns a hash that two calls with the same key must have in common.
func Fingerprint(service, method, path, query string, body []byte) string {
	sum := digest(service, method, path, query, string(body)).Sum(nil)
	return hex.EncodeToString(sum[:idBytes])
}

// digest hashes parts with their lengths, so that lists that differ only in where the parts
// are split don't collide.
func digest(parts ...string) hash.Hash {
	h := sha256.New()
	var size [8]byte
	for _, part := range parts {
		for i, n := 0, len(part); i < len(size); i, n = i+1, n>>8 {
			size[i] = byte(n)
		}
		h.Write(size[:])
		h.Write([]byte(part))
	}
	return h
}

// Shard returns the claim shard of an id.
func Shard(id ID, shards int) int { return int(xxhash.Sum64String(string(id)) % uint64(shards)) }

// KeyTime returns the time that a key carries, if it is a UUID of version 7.
func KeyTime(key string) (time.Time, bool) {
	parsed, err := uuid.Parse(key)
	if err != nil || parsed.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanos := parsed.Time().UnixTime()
	return time.Unix(seconds, nanos), true
}

// CheckKey describes the fault in a caller's key; empty when the key is valid.
func CheckKey(key string, now time.Time) string {
	if key == "" || len(key) > MaxKeyBytes {
		return "must have 1 to 255 characters"
	}
	for _, char := range []byte(key) {
		if char < ' ' || char > '~' {
			return "must be printable ASCII"
		}
	}
	if at, timed := KeyTime(key); timed && at.After(now.Add(ClockSkew)) {
		return "carries a time in the future"
	}
	return ""
}
