package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/config"
	"github.com/persimmonline/persimmonline/infra"
)

const (
	// SnapshotStream is the log stream of the snapshots of the configuration.
	SnapshotStream = "config-snapshots"
	// snapshotPageSize is the number of snapshots that one read requests.
	snapshotPageSize = 4
	// snapshotRetryDelay is the wait after a failed write of a snapshot.
	snapshotRetryDelay = 10 * time.Second
)

// storedSnapshot is a valid snapshot of the stream.
type storedSnapshot struct {
	state *config.State
	// at is the log's clock at the append.
	at time.Time
}

// readNewestSnapshot returns the snapshot with the highest offset folded, among the last
// ones of the stream; nil if the stream holds none. Damaged snapshots are skipped. The
// last record need not be the newest, since a paused writer may append an older state.
func readNewestSnapshot(ctx context.Context, log infra.Log) (*storedSnapshot, error) {
	head, err := log.Read(ctx, SnapshotStream, 0, 1, 0)
	if err != nil {
		return nil, err
	}
	for end := head.NextOffset; end > head.OldestOffset; end -= snapshotPageSize {
		from := max(head.OldestOffset, end-snapshotPageSize)
		page, err := log.Read(ctx, SnapshotStream, from, int(end-from), 0)
		if err != nil {
			return nil, err
		}
		if newest := newestOf(page.Records); newest != nil {
			return newest, nil
		}
	}
	return nil, nil
}

func newestOf(records []api.StoredRecord) *storedSnapshot {
	var newest *storedSnapshot
	for _, stored := range records {
		var record api.Record
		if json.Unmarshal(stored.Data, &record) != nil || record.Snapshot == nil {
			continue
		}
		state, err := config.FromSnapshot(*record.Snapshot)
		if err != nil {
			continue
		}
		if newest == nil || config.Newer(newest.state, state) == state {
			newest = &storedSnapshot{state: state, at: time.UnixMilli(stored.AtMS)}
		}
	}
	return newest
}

// snapshotWriter writes snapshots while this node holds the duty. Two concurrent writers
// do no harm, since readers take the snapshot with the highest offset folded.
type snapshotWriter struct {
	feed *configFeed
	// fence of the lease under which lastSnapshot was read; it is read again under another
	// lease, since another holder may have written one meanwhile.
	fence int64
	// lastKnown is set if lastSnapshot was read since this node holds the duty.
	lastKnown bool
	// lastSnapshot holds the offset and the time of the newest snapshot in the log.
	lastSnapshot config.SnapshotMark
	// retryAt is the time of the next attempt after a failure.
	retryAt time.Time
}

// writeIfDue writes a snapshot if this node holds the duty and one is due.
func (w *snapshotWriter) writeIfDue(ctx context.Context) {
	sources := &w.feed.feeds.Config
	if sources.Held == nil || time.Now().Before(w.retryAt) {
		return
	}
	fence, held := sources.Held(DutySnapshots)
	if !held {
		w.lastKnown = false
		return
	}
	if (!w.lastKnown || w.fence != fence) && !w.loadLastSnapshot(ctx, fence) {
		return
	}
	if !config.SnapshotDue(w.feed.state, w.lastSnapshot, time.Now(), sources.SnapshotInterval) {
		return
	}
	if _, held := sources.Held(DutySnapshots); held {
		w.write(ctx)
	}
}

// loadLastSnapshot reads the offset and time of the newest snapshot when the duty is new.
func (w *snapshotWriter) loadLastSnapshot(ctx context.Context, fence int64) bool {
	newest, err := readNewestSnapshot(ctx, w.feed.feeds.Log)
	if err != nil {
		w.failed(err)
		return false
	}
	w.lastSnapshot = config.SnapshotMark{}
	if newest != nil {
		w.lastSnapshot = config.SnapshotMark{Offset: newest.state.Offset, At: newest.at}
	}
	w.fence, w.lastKnown = fence, true
	return true
}

func (w *snapshotWriter) write(ctx context.Context) {
	state := w.feed.state
	snapshot, err := state.Snapshot()
	if err != nil {
		w.failed(err)
		return
	}
	record, err := json.Marshal(api.Record{Snapshot: &snapshot})
	if err != nil {
		w.failed(err)
		return
	}
	if _, err := w.feed.feeds.Log.Append(ctx, SnapshotStream, []json.RawMessage{record}); err != nil {
		w.failed(err)
		return
	}
	w.lastSnapshot = config.SnapshotMark{Offset: state.Offset, At: time.Now()}
	w.feed.feeds.Loop.state.logger.Info().Int64("version", state.Version).Int("bytes", len(record)).Msg("configuration snapshot written")
}

func (w *snapshotWriter) failed(err error) {
	w.retryAt = time.Now().Add(snapshotRetryDelay)
	w.feed.feeds.Loop.state.logger.Warn().Err(err).Msg("configuration snapshot not written")
}
