package serving

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonline/persimmonline/quarantine"
	"github.com/persimmonline/persimmonline/refusal"
)

// wholeTraits is the number of traits, the first ones, that stand for the request as a whole.
const wholeTraits = 1

// traitsOf returns what a request may have in common with others that crash upstreams: the request as
// a whole, regardless of its id, and the parts of its prompt but the last, which is its own.
func traitsOf(request *Request) []quarantine.Trait {
	digest := xxhash.New()
	for _, part := range []string{request.Key, request.Method, request.Host, request.Target} {
		_, _ = digest.WriteString(part)
		_, _ = digest.WriteString("\n")
	}
	_, _ = digest.Write(request.Body)
	traits := []quarantine.Trait{{Hash: digest.Sum64()}}
	for i := range len(request.Parts) - 1 {
		traits = append(traits, quarantine.Trait{Hash: xxhash.Sum64String("part\n" + request.Parts[i].ID), Position: i + 1})
	}
	return traits
}

// checkTraits reports whether a request with some traits may run. If it runs on trial although one of
// them is refused, it returns true twice; with two refused traits a trial would prove nothing.
func (h *Handler) checkTraits(view *View, traits []quarantine.Trait) (trial, allowed bool) {
	if len(view.RefusedTraits) == 0 {
		return false, true
	}
	var refused []uint64
	for _, trait := range traits {
		if view.RefusedTraits[trait.Hash] {
			refused = append(refused, trait.Hash)
		}
	}
	switch len(refused) {
	case 0:
		return false, true
	case 1:
	default:
		return false, false
	}
	if offer := view.Trials[refused[0]]; offer == nil || !offer.CompareAndSwap(false, true) {
		return false, false
	}
	h.Events.TrialStarted(refused[0])
	return true, true
}

func crashRefusal() *refusal.Refusal {
	return refusal.New(http.StatusServiceUnavailable, refusal.CodeCrashesUpstreams,
		"such requests crash the upstreams that run them").WithRetryAfter(retryAfterCrashes)
}
