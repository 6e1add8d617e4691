//go:build review

package main

import (
	"io"
	"net/http"
)

type httpRequest = http.Request

// okCloud accepts every call.
func okCloud() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusOK)
	})
}
