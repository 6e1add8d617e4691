package standin

import (
	"time"

	"github.com/persimmonline/persimmonline/api"
)

// hostList is the host list with its faults: it lags, and it may be incomplete.
type hostList struct {
	lag          time.Duration
	missingShare float64
	history      []api.HostList
}

// record adds the current hosts to the history and removes lists that are no longer visible.
func (l *hostList) record(hosts []api.Host, now time.Time) {
	l.history = append(l.history, api.HostList{AtMS: now.UnixMilli(), Hosts: hosts})
	cutoff := now.Add(-l.lag).UnixMilli()
	for len(l.history) > 1 && l.history[1].AtMS < cutoff {
		l.history = l.history[1:]
	}
}

// current returns the list that is visible now.
func (l *hostList) current(now time.Time) api.HostList {
	at := now.Add(-l.lag).UnixMilli()
	var visible api.HostList
	for i, list := range l.history {
		if i == 0 || list.AtMS <= at {
			visible = list
		}
	}
	visible.AtMS = max(visible.AtMS, at)
	count := int(float64(len(visible.Hosts)) * (1 - l.missingShare))
	visible.Hosts = visible.Hosts[:count:count]
	return visible
}
