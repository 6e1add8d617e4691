//go:build review

package main

import (
	"errors"
	"syscall"
	"time"
)

var scenarios = map[string]scenario{
	"crowd":       {nodes: 5, perNode: 10, play: playCrowd, check: func(w *world) []string { return w.broken }},
	"lost":        {nodes: 5, perNode: 10, play: playLost, check: func(w *world) []string { return w.broken }},
	"drill-usage": {nodes: 5, perNode: 10, play: playDrillUsage, check: func(w *world) []string { return w.cloud.violations("two reports") }},
	"drill-fence": {nodes: 5, perNode: 10, play: playDrillFence, check: func(w *world) []string { return w.cloud.violations("two holders") }},
}

// usageWindow is the length of a usage window in the settings.
const usageWindow = 5 * time.Second

// awaitPhase waits until a time after the start of the next usage window.
func awaitPhase(after time.Duration) {
	now := time.Now()
	next := now.Truncate(usageWindow).Add(after)
	if !next.After(now) {
		next = next.Add(usageWindow)
	}
	time.Sleep(time.Until(next))
}

// playDrillUsage kills all processes in a drill of the store.
func playDrillUsage(w *world, trouble bool) error {
	time.Sleep(20 * time.Second)
	awaitPhase(time.Second)
	if trouble {
		for _, n := range w.nodes {
			n.signal(syscall.SIGKILL)
		}
		w.drill(7*time.Second, 3*time.Second)
	}
	time.Sleep(25 * time.Second)
	return nil
}

// playDrillFence kills the process of the duties' holder, and once another machine acts as the holder, all
// processes in a drill of the store.
func playDrillFence(w *world, trouble bool) error {
	time.Sleep(15 * time.Second)
	first, fence := w.holder()
	if first == nil {
		return errors.New("no machine has acted as the holder")
	}
	if !trouble {
		time.Sleep(40 * time.Second)
		return nil
	}
	w.note("DISRUPTION: the process of the holder, %s, is killed", first.name)
	first.signal(syscall.SIGKILL)
	second, began := first, time.Now()
	for second == first {
		if time.Since(began) > 20*time.Second {
			return errors.New("no other machine has become the holder")
		}
		time.Sleep(50 * time.Millisecond)
		if n, newer := w.holder(); n != nil && newer > fence {
			second = n
		}
	}
	// The copy is from between the last record of the first holder and the claim of the second.
	claimed := time.Now()
	time.Sleep(time.Second)
	w.note("DISRUPTION: all processes are killed")
	for _, n := range w.nodes {
		if n == second {
			n.powerOff()
			continue
		}
		n.signal(syscall.SIGKILL)
	}
	go func() {
		time.Sleep(12 * time.Second)
		_ = second.start() // The record shows it.
	}()
	w.drill(time.Since(claimed)+1500*time.Millisecond, 3*time.Second)
	time.Sleep(25 * time.Second)
	return nil
}
