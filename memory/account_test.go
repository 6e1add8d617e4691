package memory

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
)

const budget = 30 << 20

var start = time.Unix(1_700_000_000, 0)

func grow(r *Reservation, bytes int64, now time.Time) error {
	_, err := r.TryGrow(bytes, now)
	return err
}

// fill opens reservations of a megabyte until one is refused.
func fill(a *Account, workspace string) (held []*Reservation) {
	for {
		r := a.Open(workspace)
		if grow(r, 1<<20, start) != nil {
			return held
		}
		held = append(held, r)
	}
}

func TestOneWorkspaceLeavesRoomForOthers(t *testing.T) {
	a := New(budget)
	require.Len(t, fill(a, "busy"), 20)
	require.NotEmpty(t, fill(a, "other"))
	require.NoError(t, grow(a.Open("busy"), SmallBytes, start), "a short request needs only free room")
}

func TestRoomIsFreeAgainAfterRelease(t *testing.T) {
	a := New(budget)
	for _, r := range fill(a, "busy") {
		r.Release()
		r.Release()
	}
	require.Zero(t, a.Stats().Reserved)
	require.Empty(t, a.byOwner)
}

func TestStalledUploadYieldsToOneThatFlows(t *testing.T) {
	a := New(budget)
	interrupted := 0
	uploads := fill(a, "busy")
	for _, r := range uploads {
		r.BeginUpload(func() { interrupted++ }, start)
	}
	now := start.Add(stallTime + 1)
	for _, r := range uploads[1:] {
		r.Progress(now)
	}
	wanting := a.Open("busy")
	freed, err := wanting.TryGrow(1<<20, now)
	require.ErrorIs(t, err, ErrFull)
	require.Equal(t, 1, interrupted)
	require.False(t, uploads[0].EndUpload())
	uploads[0].Release()
	<-freed
	require.NoError(t, grow(wanting, 1<<20, now))
}

func TestCompleteUploadDoesNotYield(t *testing.T) {
	a := New(budget)
	uploads := fill(a, "busy")
	for _, r := range uploads {
		r.BeginUpload(func() { require.Fail(t, "interrupted") }, start)
		require.True(t, r.EndUpload())
	}
	freed, err := a.Open("busy").TryGrow(1<<20, start.Add(time.Hour))
	require.ErrorIs(t, err, ErrFull)
	require.Nil(t, freed)
}

func FuzzReadAll(f *testing.F) {
	f.Add([]byte("body"), int64(4), int64(4), uint64(1))
	f.Add([]byte("body"), int64(-1), int64(3), uint64(2))
	f.Add(bytes.Repeat([]byte("x"), 9000), int64(-1), int64(9000), uint64(3))
	f.Add(bytes.Repeat([]byte("x"), 70_000), int64(70_000), int64(1<<20), uint64(4))
	f.Add(bytes.Repeat([]byte("x"), 9000), int64(10), int64(9000), uint64(6))
	f.Add([]byte{}, int64(0), int64(0), uint64(5))
	f.Fuzz(func(t *testing.T, body []byte, stated, limit int64, seed uint64) {
		limit = min(max(0, limit), 1<<20)
		a := New(16 << 20)
		r := a.Open("w")
		random := rand.New(rand.NewPCG(seed, seed))
		var reader io.Reader = bytes.NewReader(body)
		if random.IntN(2) == 0 {
			reader = iotest.OneByteReader(reader)
		}
		if random.IntN(2) == 0 {
			reader = iotest.DataErrReader(reader)
		}
		read, err := r.ReadAll(context.Background(), reader, stated, limit, 0)
		if err == nil {
			require.Equal(t, body, append([]byte{}, read...))
			require.GreaterOrEqual(t, r.Bytes(), int64(cap(read)))
		} else {
			require.True(t, int64(len(body)) > limit || stated > limit, "%v", err)
		}
		r.Release()
		require.Zero(t, a.Stats().Reserved)
	})
}

func TestReadStopsWithoutRoom(t *testing.T) {
	a := New(1 << 20)
	r := a.Open("w")
	_, err := r.ReadAll(context.Background(), strings.NewReader(strings.Repeat("x", 3<<20)), -1, 4<<20, 0)
	require.ErrorIs(t, err, ErrFull)
	require.LessOrEqual(t, a.Stats().Reserved, int64(1<<20))
}
