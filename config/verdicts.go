package config

import "github.com/persimmonline/persimmonline/api"

const (
	// maxVerdicts bounds the verdicts that a state retains. A repeat of an accepted patch
	// whose verdict has expired is still stale, because of its base version.
	maxVerdicts = 4096
	// chunkVerdicts is the number of verdicts in a full chunk.
	chunkVerdicts = 64
)

// window holds the last maxVerdicts verdicts. It is immutable: full chunks are shared
// between windows, and append copies only the tail.
type window struct {
	// expired is the number of verdicts at the start of the first chunk that have left the
	// window.
	expired int
	chunks  []*chunk
	tail    []api.PatchVerdict
}

// chunk is an immutable part of a window.
type chunk struct {
	verdicts []api.PatchVerdict
	// position maps patch ids to indexes in verdicts.
	position map[string]int
}

// windowOf returns the window over a list, oldest first.
func windowOf(verdicts []api.PatchVerdict) *window {
	w := &window{}
	for _, verdict := range verdicts {
		w = w.append(verdict)
	}
	return w
}

// append returns a window with one more verdict.
func (w *window) append(verdict api.PatchVerdict) *window {
	next := &window{expired: w.expired, chunks: w.chunks}
	next.tail = make([]api.PatchVerdict, 0, len(w.tail)+1)
	next.tail = append(append(next.tail, w.tail...), verdict)
	if len(next.tail) == chunkVerdicts {
		next.chunks = append(append(make([]*chunk, 0, len(w.chunks)+1), w.chunks...), newChunk(next.tail))
		next.tail = nil
	}
	if next.size() > maxVerdicts {
		next.expired++
	}
	if next.expired == chunkVerdicts {
		next.chunks = next.chunks[1:]
		next.expired = 0
	}
	return next
}

func newChunk(verdicts []api.PatchVerdict) *chunk {
	sealed := &chunk{verdicts: verdicts, position: make(map[string]int, len(verdicts))}
	for i, verdict := range verdicts {
		sealed.position[verdict.ID] = i
	}
	return sealed
}

func (w *window) size() int {
	return len(w.chunks)*chunkVerdicts - w.expired + len(w.tail)
}

// find returns the verdict on a patch id.
func (w *window) find(id string) (api.PatchVerdict, bool) {
	for _, verdict := range w.tail {
		if verdict.ID == id {
			return verdict, true
		}
	}
	for i := len(w.chunks) - 1; i >= 0; i-- {
		at, ok := w.chunks[i].position[id]
		if ok && (i > 0 || at >= w.expired) {
			return w.chunks[i].verdicts[at], true
		}
	}
	return api.PatchVerdict{}, false
}

// list returns the verdicts, oldest first.
func (w *window) list() []api.PatchVerdict {
	all := make([]api.PatchVerdict, 0, w.size())
	for i, sealed := range w.chunks {
		if i == 0 {
			all = append(all, sealed.verdicts[w.expired:]...)
			continue
		}
		all = append(all, sealed.verdicts...)
	}
	return append(all, w.tail...)
}
