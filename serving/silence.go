package serving

import (
	"sync"
	"time"
)

// silenceWatch runs an action when an upstream has been silent for too long. After stop, the action neither
// runs nor begins to run, so that it may read what the request's goroutine changes afterwards.
type silenceWatch struct {
	mu    sync.Mutex
	timer *time.Timer
	// starts counts the starts; an action of an earlier one does not run. active is set until stop.
	starts int
	active bool
}

// start runs the action after a time without reset.
func (w *silenceWatch) start(timeout time.Duration, action func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	w.active = true
	current := w.starts
	w.timer = time.AfterFunc(timeout, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.active && w.starts == current {
			action()
		}
	})
}

// reset restarts the time; it does nothing if the watch was not started.
func (w *silenceWatch) reset(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.active {
		w.timer.Reset(timeout)
	}
}

// stop waits for an action that is under way.
func (w *silenceWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active = false
	if w.timer != nil {
		w.timer.Stop()
	}
}

// watchSilence bounds the wait for a silent upstream if the request may be repeated. The exchange is
// canceled only once an attempt at another upstream is reserved: silence alone is no reason to abort a
// response.
func (x *exchange) watchSilence(timeout time.Duration) {
	if !x.run.repeatAllowed() {
		return
	}
	x.silence.start(max(0, timeout), func() {
		if x.run.reserveNextAttempt() {
			x.cancel(errUpstreamSilent)
		}
	})
}

// silenceLeft returns how long an upstream that has not answered may go on being silent.
func (x *exchange) silenceLeft() time.Duration {
	return silenceTimeout(x.run.request.Route) - time.Since(x.sentAt)
}
