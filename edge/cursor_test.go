package edge

import (
	"context"
	"encoding/binary"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/platform"
)

func TestCursorReadsOnFromTheNewestRecordsNotFromTheEnd(t *testing.T) {
	now := time.Now()
	var c cursor
	require.True(t, c.newestDue(now))
	c.applyNewest(3, 7, now)
	require.Equal(t, int64(4), c.next, "records 4 to 6 may hold newer values")
	require.False(t, c.caughtUp(7))
	c.advance(3)
	require.Equal(t, int64(7), c.next)
	require.True(t, c.caughtUp(7))
	require.False(t, c.caughtUp(9), "a page returned only a part of what follows")
	c = cursor{}
	c.applyNewest(9, 7, now)
	require.Equal(t, int64(7), c.next, "pages after the first may hold later records")
	c = cursor{}
	c.applyNewest(-1, 0, now)
	require.Equal(t, int64(0), c.next)
	require.True(t, c.caughtUp(0))
}

func TestCursorLooksAgainUntilTheNewestRecordsReachPastWhatWasDeleted(t *testing.T) {
	now := time.Now()
	c := cursor{next: 4, synced: true}
	c.applyTrimmed(9, now)
	require.Equal(t, int64(9), c.next)
	require.True(t, c.newestDue(now), "at once")
	c.applyNewest(3, 9, now)
	require.False(t, c.caughtUp(9))
	require.False(t, c.newestDue(now))
	require.Equal(t, minNewestInterval, c.maxWait(time.Second, now))
	c.advance(2)
	var looks int
	at := now
	for ; c.trimmedEnd > 0; at = at.Add(10 * time.Millisecond) {
		if !c.newestDue(at) {
			continue
		}
		looks++
		highest := int64(3)
		if at.Sub(now) > 3*time.Second {
			highest = 8
		}
		c.applyNewest(highest, 11, at)
	}
	require.Equal(t, int64(11), c.next, "what was read since is not read again")
	require.Equal(t, 4, looks)
	require.Less(t, at.Sub(now), 6*time.Second)
	require.Equal(t, time.Second, c.maxWait(time.Second, at))
}

func TestCursorTakesNewestRecordsThatNeverCatchUpAsWhole(t *testing.T) {
	now := time.Now()
	c := cursor{next: 4, synced: true}
	c.applyTrimmed(9, now)
	c.applyNewest(3, 9, now.Add(maxNewestLag/2))
	require.False(t, c.caughtUp(9))
	c.applyNewest(3, 9, now.Add(maxNewestLag+time.Second))
	require.True(t, c.caughtUp(9), "the last record deleted a key")
}

// Guards against polling, and against a position before the remaining records.
func TestTopicWithoutKeysIsReadOnAfterDeletedRecords(t *testing.T) {
	store := newStore(t)
	store.Put("plain", "", []byte("first"))
	store.Trim()
	e := New(settings(t, "n1", store.address()), zerolog.Nop())
	var first, reads atomic.Int64
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f := &feed{
		edge: e, topic: "plain", bound: configBound, maxWait: func() time.Duration { return time.Second },
		applyPage: func(page platform.Page) { first.Store(page.First); reads.Add(1) },
	}
	go f.follow(ctx)
	require.Eventually(t, func() bool { return store.Calls() >= 2 }, eventually, time.Millisecond)
	before := store.Calls()
	time.Sleep(500 * time.Millisecond)
	require.Equal(t, before, store.Calls(), "the read after the deleted records blocks")
	store.Put("plain", "", []byte("second"))
	require.Eventually(t, func() bool { return reads.Load() == 1 && first.Load() == 1 }, eventually, time.Millisecond)
}

// Guards against restarting a topic because of a single response from a replica that lags.
func TestTopicBeginsAnewOnlyWhenItsEndStaysBehind(t *testing.T) {
	store := newStore(t)
	store.configure(3, "k")
	e := New(settings(t, "n1", store.address()), zerolog.Nop())
	e.ctx = t.Context()
	go e.control.run(e.ctx)
	f := e.configFeed(e.ctx)
	f.cursor = cursor{next: 40, synced: true}
	for range shortOutageFailures {
		err := f.readOnce(e.ctx)
		require.ErrorIs(t, err, errEndsBefore)
		f.recordResult(err)
		require.Equal(t, int64(40), f.cursor.next)
	}
	require.ErrorIs(t, f.readOnce(e.ctx), errEndsBefore)
	require.NoError(t, f.readOnce(e.ctx), "the newest records are read")
	require.Equal(t, int64(1), f.cursor.next)
	require.Eventually(t, func() bool { return version(e) == 3 }, eventually, time.Millisecond)
}

// Guards against reads that are repeated in a busy loop.
func TestRecordsThatTheStoreWithholdsAreNotAskedForAtOnce(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		_, _ = w.Write(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, 9), 0))
	}))
	t.Cleanup(server.Close)
	e := New(settings(t, "n1", strings.TrimPrefix(server.URL, "http://")), zerolog.Nop())
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	f := e.configFeed(ctx)
	f.cursor = cursor{next: 3, synced: true}
	f.follow(ctx)
	require.LessOrEqual(t, calls.Load(), int64(8))
}
