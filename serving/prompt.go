package serving

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the size in tokens of the blocks in the index of shared prefixes. Parts are shared
// as a whole, so that blocks need not be finer than the prefill they save justifies.
const BlockTokens = 512

// sharedParts is the number of leading parts of a prompt by which requests are routed to the same
// engine: the part that many requests share, and the part about their subject.
const sharedParts = 2

// maxSharedBlocks bounds the blocks of one prompt in the index, whatever its length is stated to be; they are
// more than an engine's memory holds.
const maxSharedBlocks = 8192

// SharedPrefix is the start of a prompt that other requests may share.
type SharedPrefix struct {
	// Chain is the hash of its parts; 0 if nothing is shared.
	Chain uint64
	// Tokens is the sum over its parts.
	Tokens int
}

// Blocks returns the hashes of the prefix's blocks in the router's index; the last block is included
// if it is at least half full.
func (p SharedPrefix) Blocks() []uint64 {
	count := min(maxSharedBlocks, (p.Tokens+BlockTokens/2)/BlockTokens)
	blocks := make([]uint64, 0, count)
	for block := range count {
		blocks = append(blocks, blockHash(p.Chain, block))
	}
	return blocks
}

// sharedPrefix returns the start of a prompt that other requests may share. The last part is specific
// to the request and would only fill the index.
func sharedPrefix(parts []PromptPart) SharedPrefix {
	var shared SharedPrefix
	digest := xxhash.New()
	for _, part := range sharedPartsOf(parts) {
		_, _ = digest.WriteString(part.ID)
		_, _ = digest.WriteString(",")
		shared.Chain = digest.Sum64()
		shared.Tokens += part.Tokens
	}
	return shared
}

// sharedPartsOf returns the parts of a prompt that other requests may share.
func sharedPartsOf(parts []PromptPart) []PromptPart {
	return parts[:min(sharedParts, max(0, len(parts)-1))]
}

func blockHash(chain uint64, block int) uint64 {
	var raw [16]byte
	binary.LittleEndian.PutUint64(raw[:], chain)
	binary.LittleEndian.PutUint64(raw[8:], uint64(block))
	return xxhash.Sum64(raw[:])
}

// partIDs returns the ids of the parts of a prompt, in order.
func partIDs(parts []PromptPart) []string {
	ids := make([]string, 0, len(parts))
	for _, part := range parts {
		ids = append(ids, logged(part.ID))
	}
	return ids
}
