package standin

import (
	"time"

	"github.com/persimmonline/persimmonline/api"
)

// hostList is the host list with its faults: it lags, and it may be torn.
type hostList struct {
	lag     time.Duration
	torn    float64
	history []api.HostList
}

// record keeps the hosts as they are now; old lists that no lag needs are dropped.
func (l *hostList) record(hosts []api.Host, now time.Time) {
	l.history = append(l.history, api.HostList{AtMS: now.UnixMilli(), Hosts: hosts})
	cut := now.Add(-l.lag).UnixMilli()
	for len(l.history) > 1 && l.history[1].AtMS < cut {
		l.history = l.history[1:]
	}
}

// current returns the list as it is shown now.
func (l *hostList) current(now time.Time) api.HostList {
	at := now.Add(-l.lag).UnixMilli()
	var shown api.HostList
	for i, list := range l.history {
		if i == 0 || list.AtMS <= at {
			shown = list
		}
	}
	shown.AtMS = max(shown.AtMS, at)
	kept := int(float64(len(shown.Hosts)) * (1 - l.torn))
	shown.Hosts = shown.Hosts[:kept:kept]
	return shown
}
