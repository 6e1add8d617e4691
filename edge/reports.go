package edge

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/lease"
	"github.com/persimmonline/persimmonline/platform"
)

const (
	// topicUsage holds the newest usage reports under keyUsage. The store retains the newest
	// record of a key indefinitely, while it may delete records of topics without keys.
	topicUsage = "keyed.persimmon-usage"
	keyUsage   = "newest"
	// usageSettleShare is the time after the end of a window during which counts still arrive from
	// peers, as a fraction of the time until the report is due.
	usageSettleShare = 0.25
	// lateUsageWindows is the number of past windows that can still be reported late, and that the
	// store retains.
	lateUsageWindows = 3
)

// errLagging means that the newest records do not reach the end of their topic.
var errLagging = errors.New("newest records lag behind the end of their topic")

// errOtherEra means that a record was written after the store had come back from an older copy.
var errOtherEra = errors.New("record written in another era of the store")

// reports sends the usage of each window. The counts of a window are fixed in the store before
// they are sent, by a conditional append that fails if another holder has written in the
// meantime, so that all holders send the same counts. The control loop owns it.
//
// When the store has come back from an older copy, the newest records may be gone. A holder that has
// been the only one all the while still knows them. Any other can't tell an open window from one that was
// reported with counts which are lost, and leaves out what ended before the store came back.
type reports struct {
	edge    *Edge
	control *control
	fence   int64
	// loaded is set while fixed, era and end match the content of the store.
	loaded bool
	// fixed are the reports of the newest windows, oldest first.
	fixed []api.UsageReport
	// complete is set while fixed has all that was fixed.
	complete bool
	// firstOpen is the first window that is known not to be fixed unless fixed has it.
	firstOpen int64
	// era of the store that end belongs to.
	era int64
	// end is the offset after the topic's last record.
	end int64
	// callInFlight is set while a call to the store is under way.
	callInFlight bool
	// accepted holds the windows whose report was accepted, sentAt when each was last sent.
	accepted map[int64]bool
	sentAt   map[int64]time.Time
}

func newReports(e *Edge, c *control) *reports {
	return &reports{edge: e, control: c, accepted: map[int64]bool{}, sentAt: map[int64]time.Time{}}
}

// start begins reporting under a new grant.
func (r *reports) start(grant lease.Grant) {
	r.fence, r.loaded = grant.Fence, false
	r.complete = r.complete && grant.Resumed
	clear(r.accepted)
	clear(r.sentAt)
}

// tick loads the fixed reports, fixes the next window, and sends reports that are not accepted yet.
func (r *reports) tick(now time.Time) {
	if !r.callInFlight {
		if r.loaded {
			r.fixNext()
		} else {
			r.load()
		}
	}
	if !r.loaded {
		return
	}
	for _, report := range r.fixed {
		if !r.accepted[report.Window] && now.Sub(r.sentAt[report.Window]) > resendInterval {
			r.send(report, now)
		}
	}
}

// load reads the fixed reports from the store.
func (r *reports) load() {
	r.call(func(ctx context.Context) (func(), error) {
		newest, err := r.edge.store.Newest(ctx, topicUsage, maxStoreTimeout)
		if err != nil {
			return nil, err
		}
		if highest := newestOffset(newest.Records); highest+1 < newest.End {
			return nil, fmt.Errorf("read usage reports, newest offset %d, end %d: %w", highest, newest.End, errLagging)
		}
		var fixed api.FixedUsage
		for _, record := range newest.Records {
			if record.Key != keyUsage {
				continue
			}
			if err := json.Unmarshal(record.Value, &fixed); err != nil {
				return nil, fmt.Errorf("decode usage reports: %w", err)
			}
		}
		return func() { r.adopt(fixed, newest.Era, newest.End) }, nil
	})
}

// adopt applies the newest record of the topic, in an era that ends at an offset.
func (r *reports) adopt(stored api.FixedUsage, era, end int64) {
	switch {
	case stored.Era == era:
		r.fixed = stored.Reports
	case r.complete:
		r.fixed = mergeReports(stored.Reports, r.fixed)
	default:
		r.fixed, r.firstOpen = nil, r.edge.usage.Window(cmp.Or(r.control.duties.eraBegan(), r.edge.clock.now()))
		if last := len(stored.Reports) - 1; last >= 0 {
			r.firstOpen = max(r.firstOpen, stored.Reports[last].Window+1)
		}
		r.edge.logger.Warn().Int64("before", r.firstOpen).Int64("era", era).Int64("record_era", stored.Era).
			Msg("usage windows left out: they may have been reported before the store came back from an older copy")
	}
	r.loaded, r.complete, r.era, r.end = true, true, era, end
}

// mergeReports returns the reports of all windows in order; those of known replace stored ones.
func mergeReports(stored, known []api.UsageReport) []api.UsageReport {
	merged := slices.Clone(known)
	for _, report := range stored {
		if !slices.ContainsFunc(known, func(k api.UsageReport) bool { return k.Window == report.Window }) {
			merged = append(merged, report)
		}
	}
	slices.SortFunc(merged, func(a, b api.UsageReport) int { return cmp.Compare(a.Window, b.Window) })
	return merged
}

// fixNext fixes the counts of the next window that has ended, if there is one.
func (r *reports) fixNext() {
	settle := time.Duration(usageSettleShare * float64(r.edge.settings.Bounds.UsageDelay))
	ended := r.edge.usage.Window(r.edge.clock.now().Add(-settle)) - 1
	window := max(ended-lateUsageWindows+1, r.edge.firstWindow, r.firstOpen)
	if len(r.fixed) > 0 {
		window = max(window, r.fixed[len(r.fixed)-1].Window+1)
	}
	if window > ended {
		return
	}
	report := api.UsageReport{Window: window}
	r.edge.withUsage(func() { report.Counts = r.edge.usage.Total(window) })
	fixed := append(slices.Clone(r.fixed[max(0, len(r.fixed)-lateUsageWindows+1):]), report)
	era, end := r.era, r.end
	raw, err := json.Marshal(api.FixedUsage{Reports: fixed, Era: era})
	if err != nil {
		r.edge.logger.Error().Err(err).Int64("window", window).Msg("usage report not encoded")
		return
	}
	r.call(func(ctx context.Context) (func(), error) {
		position, err := r.edge.store.Append(ctx, topicUsage, [][]byte{platform.EncodeKeyed(keyUsage, raw)}, end)
		if err != nil {
			return nil, err
		}
		if position.Era != era {
			return nil, fmt.Errorf("fix usage of window %d in era %d, answer of era %d: %w", window, era, position.Era, errOtherEra)
		}
		return func() { r.fixed, r.end = fixed, position.Offset+1 }, nil
	})
}

// call makes one call to the store; done runs in the control loop. After a failed call, or one under
// another grant, the content of the store is unknown and must be loaded again.
func (r *reports) call(call func(ctx context.Context) (done func(), err error)) {
	r.callInFlight = true
	fence := r.fence
	ctx := r.edge.ctx
	go func() {
		done, err := call(ctx)
		if err != nil && ctx.Err() == nil && !errors.Is(err, platform.ErrConflict) {
			r.edge.logger.Warn().Err(err).Msg("usage reports not loaded or fixed, retrying")
			sleep(ctx, retryDelay)
		}
		r.control.post(ctx, func(time.Time) {
			r.callInFlight = false
			if err != nil || fence != r.fence {
				r.loaded = false
				return
			}
			done()
		})
	}()
}

// send sends a fixed report.
func (r *reports) send(report api.UsageReport, now time.Time) {
	r.sentAt[report.Window] = now
	holder := platform.DutyHolder{Node: r.edge.settings.Name, Fence: r.fence}
	ctx := r.edge.ctx
	go func() {
		err := r.edge.cloud.ReportUsage(ctx, holder, report.Window, report.Counts)
		r.edge.logger.Info().Err(err).Int64("window", report.Window).Interface("counts", report.Counts).
			Int64("fence", holder.Fence).Msg("usage reported")
		r.control.post(ctx, func(now time.Time) {
			switch {
			case err == nil:
				r.accepted[report.Window] = true
				delete(r.accepted, report.Window-2*lateUsageWindows)
				delete(r.sentAt, report.Window-2*lateUsageWindows)
			case errors.Is(err, platform.ErrFenced):
				r.control.duties.fenced(holder.Fence, now)
			}
		})
	}()
}
