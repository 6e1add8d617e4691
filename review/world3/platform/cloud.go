//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// cloud is a stand-in of the platform's API for duties. It checks fences and the rule ONE.
type cloud struct {
	world *world

	mu      sync.Mutex
	highest map[string]int64
	// holders are the machines that sent a fence, by subject and fence.
	holders map[string]string
	reports map[int64]map[string]int64
	broken  []string
}

func newCloud(w *world) *cloud {
	return &cloud{world: w, highest: map[string]int64{}, holders: map[string]string{}, reports: map[int64]map[string]int64{}}
}

// violations returns the breaches of a kind, which their text begins with.
func (c *cloud) violations(kind string) (found []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, text := range c.broken {
		if strings.HasPrefix(text, kind) {
			found = append(found, text)
		}
	}
	return found
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Window   int64            `json:"windowId"`
		Counts   map[string]int64 `json:"counts"`
		Service  string           `json:"service"`
		Zone     string           `json:"zone"`
		Replicas int              `json:"replicas"`
		Spot     bool             `json:"spot"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := r.Header.Get("X-Duty-Holder")
	fence, err := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil || holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	subject := r.URL.Path
	if r.URL.Path == "/scale" {
		subject += " " + body.Service + " " + body.Zone
	}
	c.mu.Lock()
	key := fmt.Sprintf("%s fence %d", subject, fence)
	if other := c.holders[key]; other != "" && other != holder {
		c.add("two holders, %s and %s, sent the same fence number: %s", other, holder, key)
	}
	c.holders[key] = holder
	status := http.StatusOK
	if known, seen := c.highest[subject]; seen && fence < known {
		status = http.StatusConflict
	} else {
		c.highest[subject] = fence
		if r.URL.Path == "/usage" {
			if known, seen := c.reports[body.Window]; seen && !maps.Equal(known, body.Counts) {
				c.add("two reports with different counts accepted for window %d: %v, then %v by %s with fence %d", body.Window, known, body.Counts, holder, fence)
			} else if !seen {
				c.reports[body.Window] = body.Counts
			}
		}
	}
	c.mu.Unlock()
	c.world.note("cloud %s holder %s fence %d window %d counts %v: %d", subject, holder, fence, body.Window, body.Counts, status)
	if status != http.StatusOK {
		w.WriteHeader(status)
		_, _ = w.Write([]byte("a higher fence was seen"))
		return
	}
	_, _ = w.Write([]byte("{}"))
}

// add records a breach; the lock is held.
func (c *cloud) add(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	for _, known := range c.broken {
		if known == text {
			return
		}
	}
	c.broken = append(c.broken, text)
	c.world.note("ONE is broken: %s", text)
}
