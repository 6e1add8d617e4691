package demo

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"

	"github.com/persimmonline/persimmonline/examples"
)

// requestKind is one kind of request in a deployment's mix.
type requestKind struct {
	// name in the report.
	name string
	// weight of the kind, relative to the others.
	weight int
	// workspace of the caller.
	workspace string
	// model to request; empty for a call to a plain service.
	model string
	// prefixWords is the length of the prompt prefix that all requests of the kind share.
	prefixWords int
	// questionWords is the length of the part of the prompt that differs.
	questionWords int
	// maxTokens bounds the answer; 0 means no limit.
	maxTokens int
	// stream requests a streamed answer.
	stream bool
	// method and path of a call of a plain service.
	method, path string
}

// mixes maps the names of the deployments to their requests.
var mixes = map[string][]requestKind{
	examples.Falaj: {
		{name: "review", weight: 10, workspace: "incident-review", model: "review", prefixWords: 1500, questionWords: 60, stream: true},
		{name: "summary", weight: 15, workspace: "shift-summary", model: "summary", prefixWords: 200, questionWords: 80, stream: true},
		{name: "debris check", weight: 20, workspace: "debris-check", model: "summary", prefixWords: 60, questionWords: 20, maxTokens: 8},
		{name: "status read", weight: 40, workspace: "plant-nizwa", method: http.MethodGet, path: "/services/rakes/screens/%d"},
		{name: "rake trigger", weight: 15, workspace: "plant-ibri", method: http.MethodPost, path: "/services/rakes/rakes/%d/trigger"},
	},
	examples.Bulakan: {
		{name: "quotation", weight: 20, workspace: "quotations", model: "quotation", prefixWords: 600, questionWords: 80, stream: true},
		{name: "question", weight: 25, workspace: "resellers", model: "quotation", prefixWords: 120, questionWords: 30, stream: true},
		{name: "tagging", weight: 25, workspace: "tagging", model: "tagger", prefixWords: 80, questionWords: 60, maxTokens: 6},
		{name: "order read", weight: 15, workspace: "warehouse", method: http.MethodGet, path: "/services/orders/orders/%d"},
		{name: "order confirmation", weight: 15, workspace: "resellers", method: http.MethodPost, path: "/services/orders/orders/%d/confirm"},
	},
}

// pickKind draws a kind at random by its weight.
func pickKind(mix []requestKind, random *rand.Rand) requestKind {
	total := 0
	for _, k := range mix {
		total += k.weight
	}
	remaining := random.IntN(total)
	for _, k := range mix {
		if remaining < k.weight {
			return k
		}
		remaining -= k.weight
	}
	return mix[0]
}

// text returns a prompt: the prefix shared by the kind's requests, then a random question.
func (k requestKind) text(random *rand.Rand) string {
	var text strings.Builder
	for i := range k.prefixWords {
		fmt.Fprintf(&text, "%s-%d ", k.workspace, i)
	}
	for range k.questionWords {
		fmt.Fprintf(&text, "word%d ", random.IntN(1000))
	}
	return text.String()
}
