package serving

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the size of a block by which shared prefixes are indexed. Parts are shared
// whole, so that a block needs to be no finer than the prefill that it saves is worth.
const BlockTokens = 512

// sharedParts is the number of a prompt's first parts by which its requests are kept
// together: the one that many share, and that of its subject.
const sharedParts = 2

// SharedPrefix is the start of a prompt that other requests may share.
type SharedPrefix struct {
	// Chain is the hash of its parts; 0 when nothing is shared.
	Chain uint64
	// Tokens of all its parts.
	Tokens int
}

// Blocks returns the blocks of the prefix, as the router's index names them; the last one is
// counted if it is at least half full.
func (p SharedPrefix) Blocks() []uint64 {
	count := (p.Tokens + BlockTokens/2) / BlockTokens
	blocks := make([]uint64, 0, count)
	for block := range count {
		blocks = append(blocks, blockHash(p.Chain, block))
	}
	return blocks
}

// sharedPrefix returns the start of a prompt by which its requests are kept together. The
// last part belongs to the request alone; it would only fill the index.
func sharedPrefix(parts []PromptPart) SharedPrefix {
	var shared SharedPrefix
	digest := xxhash.New()
	for _, part := range parts[:min(sharedParts, max(0, len(parts)-1))] {
		_, _ = digest.WriteString(part.ID)
		_, _ = digest.WriteString(",")
		shared.Chain = digest.Sum64()
		shared.Tokens += part.Tokens
	}
	return shared
}

func blockHash(chain uint64, block int) uint64 {
	var raw [16]byte
	binary.LittleEndian.PutUint64(raw[:], chain)
	binary.LittleEndian.PutUint64(raw[8:], uint64(block))
	return xxhash.Sum64(raw[:])
}
