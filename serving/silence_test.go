package serving

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An upstream breaks off just as its silence is noticed: the action reads what the next attempt writes.
func TestStopWaitsForTheActionUnderWay(t *testing.T) {
	excluded := map[string]bool{"first": true}
	var watch silenceWatch
	began := make(chan struct{})
	watch.start(0, func() {
		close(began)
		time.Sleep(20 * time.Millisecond)
		_ = excluded["second"]
	})
	<-began
	watch.stop()
	excluded["second"] = true
	require.Len(t, excluded, 2)
}

func TestNoActionAfterStop(t *testing.T) {
	var watch silenceWatch
	watch.reset(0)
	watch.start(time.Millisecond, func() { t.Error("action after stop") })
	watch.stop()
	watch.reset(0)
	time.Sleep(20 * time.Millisecond)
}
