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

// weightChunkBytes is the size of the parts in which a transfer is rate-limited.
const weightChunkBytes = 1 << 20

// WeightStore is a stand-in for the rate-limited weight store. All transfers share its rate.
type WeightStore struct {
	mu      sync.Mutex
	models  []api.WeightInfo
	limiter *rate.Limiter
	down    bool
	reads   int
}

// NewWeightStore returns a store with a rate in bytes per second.
func NewWeightStore(bytesPerSecond float64, models ...api.WeightInfo) *WeightStore {
	return &WeightStore{models: models, limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), weightChunkBytes)}
}

// SetDown makes every call fail until it is set to false.
func (w *WeightStore) SetDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
}

// SetRate changes the rate of the store.
func (w *WeightStore) SetRate(bytesPerSecond float64) { w.limiter.SetLimit(rate.Limit(bytesPerSecond)) }

// Reads returns the number of transfers that were started.
func (w *WeightStore) Reads() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reads
}

// Fetch blocks for the duration of the transfer of a model, without transferring any bytes.
func (w *WeightStore) Fetch(ctx context.Context, name, version string) error {
	size, err := w.startTransfer(name, version)
	for remaining := size; err == nil && remaining > 0; remaining -= weightChunkBytes {
		err = w.limiter.WaitN(ctx, int(min(remaining, weightChunkBytes)))
	}
	if err != nil {
		return fmt.Errorf("fetch weights of %s version %s: %w", name, version, err)
	}
	return nil
}

func (w *WeightStore) startTransfer(name, version string) (int64, error) {
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
	writeWithETag(out, r, list, list)
}

// fetch sends as many zero bytes as the model has, at the rate of the store.
func (w *WeightStore) fetch(out http.ResponseWriter, r *http.Request) {
	size, err := w.startTransfer(r.PathValue("name"), r.PathValue("version"))
	if err != nil {
		http.Error(out, err.Error(), http.StatusNotFound)
		return
	}
	out.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	zeros := make([]byte, weightChunkBytes)
	controller := http.NewResponseController(out)
	for remaining := size; remaining > 0; remaining -= weightChunkBytes {
		part := min(remaining, weightChunkBytes)
		if w.limiter.WaitN(r.Context(), int(part)) != nil {
			return
		}
		_ = controller.SetWriteDeadline(time.Now().Add(readHeaderTimeout))
		if _, err := out.Write(zeros[:part]); err != nil {
			return
		}
	}
}
