package edge

import "time"

const (
	// firstLook and mostLook are the times between two looks at newest records that may lag.
	firstLook = 250 * time.Millisecond
	mostLook  = 2 * time.Second
	// lagMemory is how long newest records may lag; the platform's pages speak of seconds.
	lagMemory = 30 * time.Second
)

// cursor is where a feed stands in its topic. It is pure.
//
// The newest records of a topic may be told by a copy that lags behind the end told beside
// them. They are whole up to the highest offset among them, and reading goes on from there. If
// what follows was deleted, a newer record of a key may be among it, and the newest records
// are looked at again until they reach past it.
type cursor struct {
	// next is the offset to read from.
	next   int64
	synced bool
	// missed is the end of the records that were deleted before they were read; 0 if the
	// newest records that were taken are whole.
	missed   int64
	missedAt time.Time
	lookAt   time.Time
	looks    int
}

// newestDue says whether the newest records are to be read, not those that follow.
func (c *cursor) newestDue(now time.Time) bool {
	return !c.synced || (c.missed > 0 && !now.Before(c.lookAt))
}

// held is how long a read may be held, so that the next look at the newest records is in time.
func (c *cursor) held(most time.Duration, now time.Time) time.Duration {
	if c.missed == 0 {
		return most
	}
	return max(0, min(most, c.lookAt.Sub(now)))
}

// newest takes an answer with the newest records: the highest offset among them, -1 if
// there are none, and the end of the topic.
func (c *cursor) newest(highest, end int64, now time.Time) {
	if !c.synced {
		c.next, c.synced = min(highest+1, end), true
	}
	if highest+1 >= c.missed || now.Sub(c.missedAt) > lagMemory {
		c.missed = 0
		return
	}
	c.lookAt = now.Add(min(mostLook, firstLook<<min(c.looks, 8)))
	c.looks++
}

// trimmed takes the answer that the records before an offset are deleted.
func (c *cursor) trimmed(oldest int64, now time.Time) {
	c.next = oldest
	if c.missed == 0 {
		c.missedAt, c.lookAt, c.looks = now, now, 0
	}
	c.missed = oldest
}

// skip goes on after records that were deleted, in a topic whose newest records aren't kept.
func (c *cursor) skip(oldest int64) { c.next = oldest }

// read takes a number of records that follow.
func (c *cursor) read(records int) { c.next += int64(records) }

// restart forgets the position: the topic's records are numbered anew.
func (c *cursor) restart() { *c = cursor{} }

// current says whether all records are read up to the end that the store told, and no change
// before it can have been missed.
func (c *cursor) current(end int64) bool { return c.synced && c.missed == 0 && c.next == end }
