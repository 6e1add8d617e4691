package retry

import "time"

// ResumeMode is how an answer that broke off goes on at another upstream.
type ResumeMode int

// Ways to go on.
const (
	// Recompute computes the whole prompt and the answer so far again.
	Recompute ResumeMode = iota
	// FromText resumes after the answer so far; the upstream's own cache has a part
	// of the prompt.
	FromText
	// FromKV resumes with the KV cache of the upstream that ran the request before.
	FromKV
)

// String returns the way as metrics and traces name it.
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
	// prefillTokensPerSecond that an engine computes.
	prefillTokensPerSecond = 8_000.0
	// kvTokensPerSecond that a KV cache moves between two engines.
	kvTokensPerSecond = 100_000.0
	// kvSetupTime is the time that an export and an import take besides.
	kvSetupTime = 10 * time.Millisecond
)

// Resume is what is known of an answer that goes on.
type Resume struct {
	// PromptTokens of the request.
	PromptTokens int
	// AnswerTokens that the caller has.
	AnswerTokens int
	// CachedTokens of the prompt that the next upstream is expected to hold.
	CachedTokens int
	// KVAvailable says that the upstream before can still export.
	KVAvailable bool
}

// CheapestResumeMode returns the way on that takes the least time.
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
	// moveMargin is the time before a reclaim at which the last stream has moved.
	moveMargin = time.Second
	// unknownNotice is the time that a leaving upstream is expected to have left when
	// nobody said when it stops.
	unknownNotice = 3 * time.Second
)

// Leaving is what is known of an attempt at an upstream that is leaving.
type Leaving struct {
	// SeenAt is when this node learned of it.
	SeenAt time.Time
	// ReclaimAt is when the host stops; zero when unknown.
	ReclaimAt time.Time
	// Spread in [0, 1) keeps attempts from moving all at once.
	Spread float64
}

// MoveAt returns when an attempt leaves an upstream that is leaving: as late as
// safe, so that short answers finish where they are, spread over the second half of
// the notice.
func MoveAt(l Leaving) time.Time {
	end := l.ReclaimAt
	if end.IsZero() {
		end = l.SeenAt.Add(unknownNotice)
	}
	last := end.Add(-moveMargin)
	notice := last.Sub(l.SeenAt)
	if notice <= 0 {
		return l.SeenAt
	}
	return last.Add(-time.Duration(l.Spread * float64(notice) / 2))
}
