package serving

import (
	"sync/atomic"
	"time"

	"github.com/persimmonline/persimmonline/rollout"
)

// Load: a new version whose streams begin in time, and then stall or go on slowly.

// pace is how the events of a stream follow each other, its end included.
type pace struct {
	// pauseLimit is the pause, intervalLimit the mean interval, from which the stream is slow; 0 if unknown.
	pauseLimit, intervalLimit time.Duration
	firstAt, lastAt           time.Time
	longest                   time.Duration
	intervals                 int
	// stalled runs while the next event is awaited.
	stalled *time.Timer
	judged  atomic.Bool
}

// advance records an event, or the end.
func (p *pace) advance(now time.Time) {
	p.longest = max(p.longest, now.Sub(p.lastAt))
	p.lastAt = now
	p.intervals++
}

// late reports whether the events so far came later than usual.
func (p *pace) late() bool {
	return p.longest > p.pauseLimit+slowSlack || p.lastAt.Sub(p.firstAt) > time.Duration(p.intervals)*p.intervalLimit+slowSlack
}

// known reports whether there is a usual pace to compare with.
func (p *pace) known() bool { return p.pauseLimit > 0 && p.intervalLimit > 0 }

// event records an event of a stream.
func (s *sample) event(now time.Time) {
	switch {
	case s == nil:
	case !s.begun:
		s.firstByte()
		s.pace.firstAt, s.pace.lastAt = now, now
		if s.pace.known() {
			s.pace.stalled = time.AfterFunc(s.pace.pauseLimit+slowSlack, func() { s.judgePace(true) })
		}
	default:
		s.pace.advance(now)
		if s.pace.stalled != nil {
			s.pace.stalled.Reset(s.pace.pauseLimit + slowSlack)
		}
	}
}

// paceComplete records that the stream is complete.
func (s *sample) paceComplete(now time.Time) {
	if s.pace.firstAt.IsZero() {
		return
	}
	s.pace.advance(now)
	s.judgePace(s.pace.late())
	if s.side == rollout.Old {
		interval := now.Sub(s.pace.firstAt) / time.Duration(s.pace.intervals)
		s.counts.learn(func() {
			observe(s.counts.pauses, s.route, s.pace.longest)
			observe(s.counts.intervals, s.route, interval)
		})
	}
}

// paceEnd judges a stream that is not complete: by what came until its caller left, or as slow if it was
// given up for its silence.
func (s *sample) paceEnd(result outcome, silent bool) {
	if s.pace.stalled == nil {
		return
	}
	s.pace.stalled.Stop()
	switch {
	case result == outcomeBroken && silent:
		s.judgePace(true)
	case result == outcomeCanceled && s.pace.intervals > 0:
		s.judgePace(s.pace.late())
	}
}

// judgePace counts the stream's pace once.
func (s *sample) judgePace(slow bool) {
	if s.pace.known() {
		s.addOnce(&s.pace.judged, rollout.Paced, rollout.Stalled, slow)
	}
}
