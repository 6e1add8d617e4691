package retry

import "time"

// ResumeMode is the way in which an interrupted answer is continued at another upstream.
type ResumeMode int

// Resume modes.
const (
	// Recompute recomputes the complete prompt and the answer so far.
	Recompute ResumeMode = iota
	// FromText resumes from the text of the answer so far; the upstream has a part of the
	// prompt in its own cache.
	FromText
	// FromKV resumes with the KV cache of the previous upstream.
	FromKV
)

// String returns the name of the mode in metrics and traces.
func (w ResumeMode) String() string {
	switch w {
	case FromKV:
		return "kv"
	case FromText:
		return "text"
	default:
		return "recompute"
	}
}

const (
	// prefillTokensPerSecond is the assumed prefill rate of an engine.
	prefillTokensPerSecond = 8_000.0
	// kvTokensPerSecond is the assumed transfer rate of a KV cache between two engines.
	kvTokensPerSecond = 100_000.0
	// kvSetupTime is the fixed cost of an export and an import.
	kvSetupTime = 10 * time.Millisecond
)

// Resume describes an interrupted answer that is to be continued.
type Resume struct {
	// PromptTokens of the request.
	PromptTokens int
	// AnswerTokens is the number of tokens that the caller has received.
	AnswerTokens int
	// CachedTokens is the part of the prompt that the next upstream is expected to have cached.
	CachedTokens int
	// KVAvailable is set while the previous upstream can still export its KV cache.
	KVAvailable bool
}

// CheapestResumeMode returns the mode with the shortest expected time.
func CheapestResumeMode(r Resume) ResumeMode {
	uncached := max(0, r.PromptTokens-r.CachedTokens) + r.AnswerTokens
	prefill := time.Duration(float64(uncached) / prefillTokensPerSecond * float64(time.Second))
	kvTransfer := kvSetupTime + time.Duration(float64(r.PromptTokens+r.AnswerTokens)/kvTokensPerSecond*float64(time.Second))
	switch {
	case r.KVAvailable && kvTransfer < prefill:
		return FromKV
	case r.AnswerTokens > 0 && r.CachedTokens > 0:
		return FromText
	default:
		return Recompute
	}
}

const (
	// moveMargin is the time before a reclaim by which all streams have moved.
	moveMargin = time.Second
	// defaultNoticePeriod is the expected remaining time of a leaving upstream whose reclaim time
	// is unknown.
	defaultNoticePeriod = 3 * time.Second
)

// Leaving describes an attempt at an upstream that is leaving.
type Leaving struct {
	// SeenAt is when this node learned that the upstream leaves.
	SeenAt time.Time
	// ReclaimAt is when the host stops; zero when unknown.
	ReclaimAt time.Time
	// Spread is a value in [0, 1) that distributes the moves of several attempts over time.
	Spread float64
}

// MoveAt returns when an attempt moves away from a leaving upstream: as late as is safe, so
// that short answers finish where they are, spread over the second half of the notice period.
func MoveAt(l Leaving) time.Time {
	end := l.ReclaimAt
	if end.IsZero() {
		end = l.SeenAt.Add(defaultNoticePeriod)
	}
	last := end.Add(-moveMargin)
	notice := last.Sub(l.SeenAt)
	if notice <= 0 {
		return l.SeenAt
	}
	return last.Add(-time.Duration(l.Spread * float64(notice) / 2))
}
