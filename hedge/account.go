package hedge

import "time"

const (
	// accountWindow is the time over which the extra work is compared with all work, in
	// accountSlices steps.
	accountWindow = 30 * time.Second
	accountSlices = 15
	// surgeSlices is the number of newest slices in which a general slowness shows, and in which at most
	// burstFactor times the allowed share of extra requests is used up.
	surgeSlices = 2
	burstFactor = 3
	// maxDueShare is the share of requests that come to their delay above which an upstream is not
	// slow but all are, minDueRequests the number up to which they may all be those of one upstream.
	maxDueShare    = 0.2
	minDueRequests = 2
)

// work is an amount of work at upstreams.
type work struct {
	requests, seconds, tokens float64
}

// slice holds what happened in one step of the account.
type slice struct {
	index      int64
	all, extra work
	// armed is the number of requests for which a second attempt was prepared, due that of those that came to
	// their delay.
	armed, due float64
}

// account compares the extra work for one service with all work for it.
type account struct {
	slices [accountSlices]slice
}

// at returns the slice of a time.
func (a *account) at(now time.Time) *slice {
	index := sliceIndex(now)
	current := &a.slices[((index%accountSlices)+accountSlices)%accountSlices]
	if current.index != index {
		*current = slice{index: index}
	}
	return current
}

func sliceIndex(now time.Time) int64 { return now.UnixNano() / int64(accountWindow/accountSlices) }

// sum adds up the newest slices.
func (a *account) sum(slices int64, now time.Time) (total slice) {
	index := sliceIndex(now)
	for _, s := range a.slices {
		if age := index - s.index; age < 0 || age >= slices {
			continue
		}
		total.all = total.all.plus(s.all)
		total.extra = total.extra.plus(s.extra)
		total.armed += s.armed
		total.due += s.due
	}
	return total
}

func (w work) plus(other work) work {
	return work{requests: w.requests + other.requests, seconds: w.seconds + other.seconds, tokens: w.tokens + other.tokens}
}

// slowestShare returns which share of the requests that may be sent a second time is within the limit.
func (a *account) slowestShare(share float64, now time.Time) float64 {
	total := a.sum(accountSlices, now)
	if total.armed == 0 {
		return share
	}
	return share * total.all.requests / total.armed
}

// surging reports whether so many requests come to their delay that all upstreams are slow.
func (a *account) surging(now time.Time) bool {
	recent := a.sum(surgeSlices, now)
	return recent.due > max(minDueRequests, maxDueShare*recent.armed)
}

// exceeded names the limit that one more hedge with a number of tokens would exceed; empty for none.
func (a *account) exceeded(share float64, tokens int, now time.Time) Denial {
	total, recent := a.sum(accountSlices, now), a.sum(surgeSlices, now)
	switch {
	case total.extra.requests+1 > share*total.all.requests, recent.extra.requests > burstFactor*share*recent.all.requests:
		return DeniedShare
	case tokens > 0 && total.extra.tokens+float64(tokens) > share*total.all.tokens:
		return DeniedTokens
	case total.extra.seconds > share*total.all.seconds:
		return DeniedSeconds
	}
	return ""
}
