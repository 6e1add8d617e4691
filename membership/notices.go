package membership

import (
	"slices"
	"time"

	"github.com/persimmonline/persimmonline/api"
)

const (
	// defaultNotice is how long a host is taken to run on after a notice that names no
	// time.
	defaultNotice = 30 * time.Second
	// noticeKept is how long a notice is kept after its host stopped, so that late
	// lists and peers don't revive the host. All nodes drop it at the same time.
	noticeKept = 10 * time.Minute
	// cleanEvery is how often notices that are too old are dropped.
	cleanEvery = time.Minute
	// maxNotices bounds the notices that are kept; the oldest half goes first.
	maxNotices = 16384
)

// noticeKey names what a notice is about; an empty incarnation is any.
type noticeKey struct {
	host        string
	incarnation string
}

// Notice is a reclaim notice in the order in which this node took them.
type Notice struct {
	api.LeavingHost
	// Seq rises with each notice that this node takes.
	Seq int64
}

// notices are the reclaim notices that are known. The list is only appended to or
// replaced, so that a view may share it.
type notices struct {
	reclaimAtMS map[noticeKey]int64
	list        []Notice
	seq         int64
	cleanedAt   time.Time
}

func newNotices() notices { return notices{reclaimAtMS: map[noticeKey]int64{}} }

// ApplyLeaving takes news of a reclaim from any source: the cloud API, a peer, or
// the upstream's own answers. It returns whether the news was new.
func (t *Table) ApplyLeaving(news api.LeavingHost, now time.Time) bool {
	if news.ReclaimAtMS == 0 {
		news.ReclaimAtMS = now.Add(defaultNotice).UnixMilli()
	}
	t.notices.clean(now)
	if expired(news, now) || !t.notices.add(news) {
		return false
	}
	if known, ok := t.entries[news.HostID]; ok {
		t.applyNotice(known, now.UnixMilli())
	}
	return true
}

// applyNotice marks a member as leaving if a notice is about it. A notice that names
// no incarnation is about those that are seen on the host until it stops; a process
// that is seen there later is another one.
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

// Notices returns the notices that are kept, oldest first. The list is immutable.
func (t *Table) Notices() []Notice { return slices.Clip(t.notices.list) }

// NoticesAfter returns up to limit notices after a number and the number of the
// last of them, so that each peer is told each notice once.
func NoticesAfter(list []Notice, seq int64, limit int) ([]api.LeavingHost, int64) {
	start, _ := slices.BinarySearchFunc(list, seq, func(n Notice, after int64) int {
		if n.Seq <= after {
			return -1
		}
		return 1
	})
	told := []api.LeavingHost{}
	for _, next := range list[start:min(len(list), start+limit)] {
		told = append(told, next.LeavingHost)
		seq = next.Seq
	}
	return told, seq
}

// add keeps a notice and returns whether it is new. A much later notice replaces one
// of the same name, as a host may be reclaimed again.
func (n *notices) add(news api.LeavingHost) bool {
	key := noticeKey{news.HostID, news.Incarnation}
	if knownMS, seen := n.reclaimAtMS[key]; seen && news.ReclaimAtMS <= knownMS+defaultNotice.Milliseconds() {
		return false
	}
	n.seq++
	n.reclaimAtMS[key] = news.ReclaimAtMS
	n.list = append(n.list, Notice{LeavingHost: news, Seq: n.seq})
	return true
}

// clean drops the notices of hosts that stopped long ago, and the oldest above the
// bound.
func (n *notices) clean(now time.Time) {
	if now.Sub(n.cleanedAt) < cleanEvery && len(n.list) < maxNotices {
		return
	}
	n.cleanedAt = now
	surplus := len(n.list) - maxNotices + maxNotices/2
	if len(n.list) < maxNotices {
		surplus = 0
	}
	kept := make([]Notice, 0, len(n.list))
	for i, known := range n.list {
		key := noticeKey{known.HostID, known.Incarnation}
		replaced := n.reclaimAtMS[key] != known.ReclaimAtMS
		switch {
		case replaced:
		case i < surplus || expired(known.LeavingHost, now):
			delete(n.reclaimAtMS, key)
		default:
			kept = append(kept, known)
		}
	}
	n.list = kept
}

func expired(news api.LeavingHost, now time.Time) bool {
	return now.UnixMilli() > news.ReclaimAtMS+noticeKept.Milliseconds()
}
