// Package overhead measures the overhead of a node compared with direct calls: added
// latency, requests per second, and memory per open stream.
package overhead

import "net/http"

// passThrough returns a minimal net/http proxy to one address, as the baseline.
func passThrough(address string) http.Handler {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+address+r.URL.Path, r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		response, err := client.Do(request)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer func() { _ = response.Body.Close() }()
		w.WriteHeader(response.StatusCode)
		controller := http.NewResponseController(w)
		buffer := make([]byte, 32<<10)
		for {
			n, err := response.Body.Read(buffer)
			_, _ = w.Write(buffer[:n])
			_ = controller.Flush()
			if err != nil {
				return
			}
		}
	})
}
