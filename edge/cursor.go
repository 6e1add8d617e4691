package edge

import "time"

const (
	// minNewestInterval and maxNewestInterval bound the exponential backoff between repeated reads
	// of newest records that may lag.
	minNewestInterval = 250 * time.Millisecond
	maxNewestInterval = 2 * time.Second
	// maxNewestLag is how long newest records may lag; the platform's documentation speaks of
	// seconds.
	maxNewestLag = 30 * time.Second
)

// cursor is the position of a feed in its topic. It does no I/O and reads no clock.
//
// The newest record of each key may come from a replica that lags behind the end of the topic
// returned with it. The set is complete up to the highest offset in it, and reading continues from
// there. If the records that follow have been deleted, a newer record of a key may be among them,
// and the newest records are read again until they extend past the deleted range.
type cursor struct {
	// next is the offset to read from.
	next   int64
	synced bool
	// trimmedEnd is the end of the records that were deleted before they were read; 0 if no
	// deleted record can have been missed.
	trimmedEnd    int64
	trimmedAt     time.Time
	nextNewestAt  time.Time
	newestRepeats int
}

// newestDue reports whether the next read is of the newest records, not of those that follow.
func (c *cursor) newestDue(now time.Time) bool {
	return !c.synced || (c.trimmedEnd > 0 && !now.Before(c.nextNewestAt))
}

// maxWait returns how long the store may block a read, so that the next read of the newest records
// is not delayed.
func (c *cursor) maxWait(limit time.Duration, now time.Time) time.Duration {
	if c.trimmedEnd == 0 {
		return limit
	}
	return max(0, min(limit, c.nextNewestAt.Sub(now)))
}

// applyNewest updates the position after a read of the newest records: highest is the highest
// offset among them, -1 if there are none, and end is the end of the topic.
func (c *cursor) applyNewest(highest, end int64, now time.Time) {
	if !c.synced {
		c.next, c.synced = min(highest+1, end), true
	}
	if highest+1 >= c.trimmedEnd || now.Sub(c.trimmedAt) > maxNewestLag {
		c.trimmedEnd = 0
		return
	}
	c.nextNewestAt = now.Add(min(maxNewestInterval, minNewestInterval<<min(c.newestRepeats, 8)))
	c.newestRepeats++
}

// applyTrimmed updates the position after the store reported that the records before oldest were
// deleted.
func (c *cursor) applyTrimmed(oldest int64, now time.Time) {
	c.next = oldest
	if c.trimmedEnd == 0 {
		c.trimmedAt, c.nextNewestAt, c.newestRepeats = now, now, 0
	}
	c.trimmedEnd = oldest
}

// skipTo continues after deleted records in a topic without keys, whose newest records the store may
// delete.
func (c *cursor) skipTo(oldest int64) { c.next = oldest }

// advance moves the position past records that were read.
func (c *cursor) advance(records int) { c.next += int64(records) }

// reset clears the position, as when the topic's records are renumbered.
func (c *cursor) reset() { *c = cursor{} }

// caughtUp reports whether all records up to end have been read and no change before it can have
// been missed.
func (c *cursor) caughtUp(end int64) bool { return c.synced && c.trimmedEnd == 0 && c.next == end }
