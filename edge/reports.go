package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/platform"
)

const (
	// topicUsage holds the newest usage reports under keyUsage. The store keeps the newest
	// record of a key for good, while it may forget those of other topics.
	topicUsage = "keyed.persimmon-usage"
	keyUsage   = "newest"
	// usageSettle is the time after the end of a window in which counts still come in
	// from peers; it is a part of the time until the report is due.
	usageSettle = 0.25
	// usageBack is the number of past windows that are reported late, and that the store holds.
	usageBack = 3
)

// errLagging means that newest records end before their topic does.
var errLagging = errors.New("the newest records lag behind the end of their topic")

// reports sends the usage of each window. The counts of a window are fixed in the store
// before they are sent, by a write that fails if another holder has fixed some meanwhile;
// so all holders send the same counts. The control loop owns it.
type reports struct {
	edge    *Edge
	control *control
	fence   int64
	// known says that fixed and end are what the store holds.
	known bool
	// fixed are the reports of the newest windows, oldest first.
	fixed []api.UsageReport
	// end is the offset after the topic's last record.
	end int64
	// calling says that a call to the store is under way.
	calling bool
	// accepted are the windows whose report was taken, and sentAt when each was sent last.
	accepted map[int64]bool
	sentAt   map[int64]time.Time
}

func newReports(e *Edge, c *control) *reports {
	return &reports{edge: e, control: c, accepted: map[int64]bool{}, sentAt: map[int64]time.Time{}}
}

// begin takes the duty up under a fencing token.
func (r *reports) begin(fence int64) {
	r.fence, r.known = fence, false
	clear(r.accepted)
	clear(r.sentAt)
}

// tick goes on: it reads what is fixed, fixes the next window, and sends what was not accepted.
func (r *reports) tick(now time.Time) {
	if !r.calling {
		if r.known {
			r.fixNext()
		} else {
			r.read()
		}
	}
	if !r.known {
		return
	}
	for _, report := range r.fixed {
		if !r.accepted[report.Window] && now.Sub(r.sentAt[report.Window]) > resendEvery {
			r.send(report, now)
		}
	}
}

// read asks the store for the reports that are fixed.
func (r *reports) read() {
	r.call(func(ctx context.Context) (func(), error) {
		records, end, err := r.edge.store.Newest(ctx, topicUsage, mostPatience)
		if err != nil {
			return nil, err
		}
		if newest := newestOffset(records); newest+1 < end {
			return nil, fmt.Errorf("read the usage reports, newest offset %d, end %d: %w", newest, end, errLagging)
		}
		var fixed api.FixedUsage
		for _, record := range records {
			if record.Key != keyUsage {
				continue
			}
			if err := json.Unmarshal(record.Value, &fixed); err != nil {
				return nil, fmt.Errorf("decode the usage reports: %w", err)
			}
		}
		return func() { r.fixed, r.end, r.known = fixed.Reports, end, true }, nil
	})
}

// fixNext fixes the counts of the next window that has ended, if there is one.
func (r *reports) fixNext() {
	settle := time.Duration(usageSettle * float64(r.edge.settings.Bounds.UsageDelay))
	ended := r.edge.usage.Window(r.edge.clock.now().Add(-settle)) - 1
	window := max(ended-usageBack+1, r.edge.firstWindow)
	if len(r.fixed) > 0 {
		window = max(window, r.fixed[len(r.fixed)-1].Window+1)
	}
	if window > ended {
		return
	}
	report := api.UsageReport{Window: window}
	r.edge.meter(func() { report.Counts = r.edge.usage.Total(window) })
	fixed := append(slices.Clone(r.fixed[max(0, len(r.fixed)-usageBack+1):]), report)
	raw, err := json.Marshal(api.FixedUsage{Reports: fixed})
	if err != nil {
		r.edge.logger.Error().Err(err).Int64("window", window).Msg("usage report not encoded")
		return
	}
	end := r.end
	r.call(func(ctx context.Context) (func(), error) {
		offset, err := r.edge.store.Append(ctx, topicUsage, [][]byte{platform.EncodeKeyed(keyUsage, raw)}, end)
		if err != nil {
			return nil, err
		}
		return func() { r.fixed, r.end = fixed, offset+1 }, nil
	})
}

// call makes one call to the store; done runs in the control loop. After a failed call it
// is not known what the store holds.
func (r *reports) call(call func(ctx context.Context) (done func(), err error)) {
	r.calling = true
	ctx := r.edge.ctx
	go func() {
		done, err := call(ctx)
		if err != nil && ctx.Err() == nil && !errors.Is(err, platform.ErrConflict) {
			r.edge.logger.Warn().Err(err).Msg("usage not fixed yet")
			sleep(ctx, retryPause)
		}
		r.control.post(ctx, func(time.Time) {
			r.calling = false
			if err != nil {
				r.known = false
				return
			}
			done()
		})
	}()
}

// send sends a report that is fixed.
func (r *reports) send(report api.UsageReport, now time.Time) {
	r.sentAt[report.Window] = now
	holder := platform.Holder{Node: r.edge.settings.Name, Fence: r.fence}
	ctx := r.edge.ctx
	go func() {
		err := r.edge.cloud.ReportUsage(ctx, holder, report.Window, report.Counts)
		r.edge.logger.Info().Err(err).Int64("window", report.Window).Interface("counts", report.Counts).
			Int64("fence", holder.Fence).Msg("usage reported")
		r.control.post(ctx, func(time.Time) {
			switch {
			case err == nil:
				r.accepted[report.Window] = true
				delete(r.accepted, report.Window-2*usageBack)
				delete(r.sentAt, report.Window-2*usageBack)
			case errors.Is(err, platform.ErrFenced):
				r.control.duties.fenced(holder.Fence)
			}
		})
	}()
}
