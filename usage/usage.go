// Package usage counts the requests of each workspace over all nodes, by time window. Each
// node counts its own requests. The counts of one incarnation only increase, so that messages
// with them may arrive in any order and more than once. It has no side effects.
package usage

import (
	"maps"
	"time"
)

// RetainedWindows is the number of windows that are retained.
const RetainedWindows = 6

// Counts are numbers of requests by workspace. Counts and Windows are aliases, so that
// messages can contain them without conversion.
type Counts = map[string]int64

// Windows are counts by window number.
type Windows = map[int64]Counts

// Meter holds the counts of all known nodes. It is not safe for concurrent use.
type Meter struct {
	self         string
	windowLength time.Duration
	// windowsByIncarnation holds the counts by node incarnation.
	windowsByIncarnation map[string]Windows
	newest               int64
}

// NewMeter returns a meter with windows of the given length; self identifies this node's
// incarnation.
func NewMeter(self string, windowLength time.Duration) *Meter {
	return &Meter{self: self, windowLength: windowLength, windowsByIncarnation: map[string]Windows{self: {}}}
}

// Window returns the number of the window that contains a time.
func (m *Meter) Window(at time.Time) int64 { return at.UnixNano() / int64(m.windowLength) }

// WindowEnd returns the end of a window.
func (m *Meter) WindowEnd(window int64) time.Time {
	return time.Unix(0, (window+1)*int64(m.windowLength))
}

// Count counts a request of a workspace that started at a time.
func (m *Meter) Count(workspace string, at time.Time) {
	window := m.Window(at)
	own := m.windowsByIncarnation[m.self]
	if own[window] == nil {
		own[window] = Counts{}
		m.advance(window)
	}
	own[window][workspace]++
}

// Merge applies the received counts of an incarnation; the higher of two counts wins.
func (m *Meter) Merge(incarnation string, windows Windows) {
	if incarnation == m.self {
		return
	}
	known := m.windowsByIncarnation[incarnation]
	if known == nil {
		known = Windows{}
		m.windowsByIncarnation[incarnation] = known
	}
	for window, counts := range windows {
		if window <= m.newest-RetainedWindows {
			continue
		}
		if known[window] == nil {
			known[window] = Counts{}
		}
		for workspace, count := range counts {
			known[window][workspace] = max(known[window][workspace], count)
		}
		m.advance(window)
	}
}

// advance moves the newest window forward and removes windows that are too old.
func (m *Meter) advance(window int64) {
	if window <= m.newest {
		return
	}
	m.newest = window
	for incarnation, windows := range m.windowsByIncarnation {
		for number := range windows {
			if number <= m.newest-RetainedWindows {
				delete(windows, number)
			}
		}
		if len(windows) == 0 && incarnation != m.self {
			delete(m.windowsByIncarnation, incarnation)
		}
	}
}

// OwnWindows returns a copy of this node's counts in the newest maxWindows windows; at most
// RetainedWindows exist.
func (m *Meter) OwnWindows(maxWindows int) Windows {
	return m.copyNewest(m.windowsByIncarnation[m.self], maxWindows)
}

// AllWindows returns a copy of the counts of all incarnations in the newest maxWindows windows;
// at most RetainedWindows exist.
func (m *Meter) AllWindows(maxWindows int) map[string]Windows {
	copied := make(map[string]Windows, len(m.windowsByIncarnation))
	for incarnation, windows := range m.windowsByIncarnation {
		if counts := m.copyNewest(windows, maxWindows); len(counts) > 0 {
			copied[incarnation] = counts
		}
	}
	return copied
}

func (m *Meter) copyNewest(windows Windows, maxWindows int) Windows {
	copied := make(Windows, maxWindows)
	for window, counts := range windows {
		if window > m.newest-int64(maxWindows) {
			copied[window] = maps.Clone(counts)
		}
	}
	return copied
}

// Total returns the sum of all nodes' counts of a window.
func (m *Meter) Total(window int64) Counts {
	total := Counts{}
	for _, windows := range m.windowsByIncarnation {
		for workspace, count := range windows[window] {
			total[workspace] += count
		}
	}
	return total
}
