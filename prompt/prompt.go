// Package prompt derives from chat messages the prefix blocks that engines report for their
// caches, and estimates token counts.
package prompt

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonline/persimmonline/api"
)

const (
	// bytesPerToken is the average length of a token, in bytes.
	bytesPerToken = 4
	// BlockTokens is the size of a prefix block, in tokens.
	BlockTokens = 64
	// blockBytes is the size of a prefix block, in bytes.
	blockBytes = BlockTokens * bytesPerToken
)

// Text returns the messages as the text that an engine processes.
func Text(messages []api.ChatMessage) []byte {
	var text []byte
	for _, message := range messages {
		text = append(text, message.Role...)
		text = append(text, '\n')
		text = append(text, message.Content...)
		text = append(text, '\n')
	}
	return text
}

// Tokens estimates the number of tokens of a text.
func Tokens(text []byte) int {
	return (len(text) + bytesPerToken - 1) / bytesPerToken
}

// Blocks returns the chained hashes of the text's complete blocks: hash i identifies the
// prefix up to the end of block i.
func Blocks(text []byte) []uint64 {
	blocks := make([]uint64, 0, len(text)/blockBytes)
	digest := xxhash.New()
	for start := 0; start+blockBytes <= len(text); start += blockBytes {
		_, _ = digest.Write(text[start : start+blockBytes])
		blocks = append(blocks, digest.Sum64())
	}
	return blocks
}

// Fingerprint returns the hash of the complete text.
func Fingerprint(text []byte) uint64 { return xxhash.Sum64(text) }

// PrefixKey returns the hash of the first block, or of the complete text when it is shorter,
// so that the requests of one conversation have the same owner.
func PrefixKey(text []byte) uint64 {
	return xxhash.Sum64(text[:min(len(text), blockBytes)])
}

// BlockName returns the name of a block in cache events.
func BlockName(block uint64) string {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], block)
	return hex.EncodeToString(raw[:])
}
