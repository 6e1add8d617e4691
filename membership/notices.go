package membership

import (
	"slices"
	"time"

	"github.com/persimmonline/persimmonline/api"
)

const (
	// defaultNoticePeriod is the assumed time until a host stops when its notice names none.
	defaultNoticePeriod = 30 * time.Second
	// noticeRetention is how long a notice is retained after its host stopped, so that late
	// lists and peers don't revive the host. All nodes drop it at the same time.
	noticeRetention = 10 * time.Minute
	// pruneInterval is the interval at which expired notices are dropped.
	pruneInterval = time.Minute
	// maxNotices bounds the retained notices; at the bound the oldest half is evicted.
	maxNotices = 16384
)

// noticeKey identifies the subject of a notice; an empty incarnation matches any.
type noticeKey struct {
	host        string
	incarnation string
}

// Notice is a reclaim notice, numbered in the order in which this node accepted it.
type Notice struct {
	api.LeavingHost
	// Seq increases with each notice that this node accepts.
	Seq int64
}

// notices holds the known reclaim notices. The list is only appended to or replaced,
// so that callers may share it.
type notices struct {
	reclaimAtMS map[noticeKey]int64
	list        []Notice
	seq         int64
	prunedAt    time.Time
}

func newNotices() notices { return notices{reclaimAtMS: map[noticeKey]int64{}} }

// ApplyLeaving applies a reclaim notice from any source: the cloud API, a peer, or the
// upstream's own answers. It reports whether the notice was new.
func (t *Table) ApplyLeaving(notice api.LeavingHost, now time.Time) bool {
	if notice.ReclaimAtMS == 0 {
		notice.ReclaimAtMS = now.Add(defaultNoticePeriod).UnixMilli()
	}
	t.notices.prune(now)
	if expired(notice, now) || !t.notices.add(notice) {
		return false
	}
	if known, ok := t.entries[notice.HostID]; ok {
		t.applyNotice(known, now.UnixMilli())
	}
	return true
}

// applyNotice marks a member as leaving if a notice applies to it. A notice without an
// incarnation applies to those seen on the host until it stops; a process seen there
// later is a new one.
func (t *Table) applyNotice(known *entry, seenAtMS int64) {
	host, incarnation := known.member.ID, known.member.Incarnation
	for _, key := range []noticeKey{{host, incarnation}, {host, ""}} {
		reclaimAtMS, ok := t.notices.reclaimAtMS[key]
		if !ok || (key.incarnation == "" && incarnation != "" && seenAtMS > reclaimAtMS) {
			continue
		}
		known.leaving = true
		known.member.ReclaimAt = time.UnixMilli(reclaimAtMS)
		return
	}
}

// Notices returns the retained notices, oldest first. The list is immutable.
func (t *Table) Notices() []Notice { return slices.Clip(t.notices.list) }

// NoticesAfter returns up to limit notices after a sequence number and the sequence
// number of the last of them, so that each notice is sent to each peer once.
func NoticesAfter(list []Notice, seq int64, limit int) ([]api.LeavingHost, int64) {
	start, _ := slices.BinarySearchFunc(list, seq, func(n Notice, after int64) int {
		if n.Seq <= after {
			return -1
		}
		return 1
	})
	batch := []api.LeavingHost{}
	for _, next := range list[start:min(len(list), start+limit)] {
		batch = append(batch, next.LeavingHost)
		seq = next.Seq
	}
	return batch, seq
}

// add stores a notice and reports whether it is new. A notice replaces one with the
// same key if its reclaim time is later by more than defaultNoticePeriod, as a host may be
// reclaimed again.
func (n *notices) add(notice api.LeavingHost) bool {
	key := noticeKey{notice.HostID, notice.Incarnation}
	if knownMS, seen := n.reclaimAtMS[key]; seen && notice.ReclaimAtMS <= knownMS+defaultNoticePeriod.Milliseconds() {
		return false
	}
	n.seq++
	n.reclaimAtMS[key] = notice.ReclaimAtMS
	n.list = append(n.list, Notice{LeavingHost: notice, Seq: n.seq})
	return true
}

// prune drops expired notices, and the oldest ones when the bound is reached.
func (n *notices) prune(now time.Time) {
	if now.Sub(n.prunedAt) < pruneInterval && len(n.list) < maxNotices {
		return
	}
	n.prunedAt = now
	surplus := len(n.list) - maxNotices + maxNotices/2
	if len(n.list) < maxNotices {
		surplus = 0
	}
	retained := make([]Notice, 0, len(n.list))
	for i, known := range n.list {
		key := noticeKey{known.HostID, known.Incarnation}
		replaced := n.reclaimAtMS[key] != known.ReclaimAtMS
		switch {
		case replaced:
		case i < surplus || expired(known.LeavingHost, now):
			delete(n.reclaimAtMS, key)
		default:
			retained = append(retained, known)
		}
	}
	n.list = retained
}

func expired(notice api.LeavingHost, now time.Time) bool {
	return now.UnixMilli() > notice.ReclaimAtMS+noticeRetention.Milliseconds()
}
