package demo

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"

	"github.com/persimmonline/persimmonline/examples"
)

// kind is one kind of request of a deployment's mix.
type kind struct {
	// name in the report.
	name string
	// share of the requests, relative to the others.
	share int
	// workspace of the caller.
	workspace string
	// model that is asked; empty for a call of a plain service.
	model string
	// prefixWords is the length of the prompt that all requests of the kind share.
	prefixWords int
	// questionWords is the length of the part of the prompt that differs.
	questionWords int
	// maxTokens bounds the answer; 0 is no bound.
	maxTokens int
	// stream says that the answer is streamed.
	stream bool
	// method and path of a call of a plain service.
	method, path string
}

// mixes are the requests of each deployment.
var mixes = map[string][]kind{
	examples.Falaj: {
		{name: "review", share: 10, workspace: "incident-review", model: "review", prefixWords: 1500, questionWords: 60, stream: true},
		{name: "summary", share: 15, workspace: "shift-summary", model: "summary", prefixWords: 200, questionWords: 80, stream: true},
		{name: "debris check", share: 20, workspace: "debris-check", model: "summary", prefixWords: 60, questionWords: 20, maxTokens: 8},
		{name: "status read", share: 40, workspace: "plant-nizwa", method: http.MethodGet, path: "/services/rakes/screens/%d"},
		{name: "rake trigger", share: 15, workspace: "plant-ibri", method: http.MethodPost, path: "/services/rakes/rakes/%d/trigger"},
	},
	examples.Bulakan: {
		{name: "quotation", share: 20, workspace: "quotations", model: "quotation", prefixWords: 600, questionWords: 80, stream: true},
		{name: "question", share: 25, workspace: "resellers", model: "quotation", prefixWords: 120, questionWords: 30, stream: true},
		{name: "tagging", share: 25, workspace: "tagging", model: "tagger", prefixWords: 80, questionWords: 60, maxTokens: 6},
		{name: "order read", share: 15, workspace: "warehouse", method: http.MethodGet, path: "/services/orders/orders/%d"},
		{name: "order confirmation", share: 15, workspace: "resellers", method: http.MethodPost, path: "/services/orders/orders/%d/confirm"},
	},
}

// pick draws a kind by its share.
func pick(mix []kind, random *rand.Rand) kind {
	total := 0
	for _, k := range mix {
		total += k.share
	}
	drawn := random.IntN(total)
	for _, k := range mix {
		if drawn < k.share {
			return k
		}
		drawn -= k.share
	}
	return mix[0]
}

// text returns a prompt: the prefix that the kind's requests share, then a question.
func (k kind) text(random *rand.Rand) string {
	var text strings.Builder
	for i := range k.prefixWords {
		fmt.Fprintf(&text, "%s-%d ", k.workspace, i)
	}
	for range k.questionWords {
		fmt.Fprintf(&text, "word%d ", random.IntN(1000))
	}
	return text.String()
}
