package standin

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/persimmonline/persimmonline/api"
)

// weightChunk is the part of a transfer that the rate limit counts at once, in bytes.
const weightChunk = 1 << 20

// WeightStore is a stand-in for the rate-limited weight store. All readers share its rate.
type WeightStore struct {
	mu      sync.Mutex
	models  []api.WeightInfo
	limiter *rate.Limiter
	down    bool
	reads   int
}

// NewWeightStore returns a store that sends a number of bytes a second.
func NewWeightStore(bytesPerSecond float64, models ...api.WeightInfo) *WeightStore {
	return &WeightStore{models: models, limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), weightChunk)}
}

// SetDown makes every call fail until it is set to false.
func (w *WeightStore) SetDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
}

// SetRate changes the bytes a second that the store sends.
func (w *WeightStore) SetRate(bytesPerSecond float64) { w.limiter.SetLimit(rate.Limit(bytesPerSecond)) }

// Reads returns the number of transfers that began.
func (w *WeightStore) Reads() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reads
}

// Fetch takes the time that the transfer of a model takes; the bytes themselves are
// of no use to a stand-in.
func (w *WeightStore) Fetch(ctx context.Context, name, version string) error {
	size, err := w.begin(name, version)
	for left := size; err == nil && left > 0; left -= weightChunk {
		err = w.limiter.WaitN(ctx, int(min(left, weightChunk)))
	}
	if err != nil {
		return fmt.Errorf("fetch weights of %s version %s: %w", name, version, err)
	}
	return nil
}

func (w *WeightStore) begin(name, version string) (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return 0, fmt.Errorf("weight store is down")
	}
	i := slices.IndexFunc(w.models, func(m api.WeightInfo) bool { return m.Name == name && m.Version == version })
	if i < 0 {
		return 0, fmt.Errorf("not in the weight store")
	}
	w.reads++
	return w.models[i].Bytes, nil
}

// Handler serves the store's protocol.
func (w *WeightStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights", w.list)
	mux.HandleFunc("GET /v1/weights/{name}/{version}", w.fetch)
	return mux
}

func (w *WeightStore) list(out http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	down := w.down
	list := api.WeightList{BytesPerSecond: float64(w.limiter.Limit()), Models: w.models}
	w.mu.Unlock()
	if down {
		http.Error(out, "weight store is down", http.StatusServiceUnavailable)
		return
	}
	writeTagged(out, r, list, list)
}

// fetch sends zeros of the length of the weights, at the store's rate.
func (w *WeightStore) fetch(out http.ResponseWriter, r *http.Request) {
	size, err := w.begin(r.PathValue("name"), r.PathValue("version"))
	if err != nil {
		http.Error(out, err.Error(), http.StatusNotFound)
		return
	}
	out.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	zeros := make([]byte, weightChunk)
	controller := http.NewResponseController(out)
	for left := size; left > 0; left -= weightChunk {
		part := min(left, weightChunk)
		if w.limiter.WaitN(r.Context(), int(part)) != nil {
			return
		}
		_ = controller.SetWriteDeadline(time.Now().Add(readHeaderTimeout))
		if _, err := out.Write(zeros[:part]); err != nil {
			return
		}
	}
}
