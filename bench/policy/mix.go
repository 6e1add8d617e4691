package policy

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/examples"
	"github.com/persimmonline/persimmonline/prompt"
)

const (
	// reclaimNotice is the time from the notice to the reclaim, in seconds.
	reclaimNotice = 5.0
	// noticeLag is the delay until the nodes receive a notice, in seconds.
	noticeLag = 0.5
	// maxLag is the largest lag of a load report, in seconds.
	maxLag = 20.0
	// ordinaryLag is the usual lag of a load report, in seconds.
	ordinaryLag = 0.5
	// reclaimLoad multiplies the load in the reclaim scenario, so that the rest of the fleet
	// can't serve all of it.
	reclaimLoad = 1.6
	// burstSeconds is the seconds of ordinary load that arrive in the one-second burst.
	burstSeconds = 60.0
	// runSeconds is the length of a scenario, in seconds.
	runSeconds = 45.0
)

// stream is a stream of similar requests of one workspace.
type stream struct {
	workspace string
	service   string
	perSecond float64
	prompt    [2]int
	shared    int
	prefixes  int
	answer    [2]int
}

// Mix is the workload of one deployment.
type Mix struct {
	// Name of the deployment.
	Name string

	deployment    api.Deployment
	configuration api.Configuration
	services      []string
	streams       []stream
}

// Scenario is one simulated scenario.
type Scenario struct {
	// Name in the report.
	Name string
	// Mix of requests.
	Mix Mix
	// Seconds during which requests arrive.
	Seconds float64
	// LoadLag is the age of the engines' load reports, in seconds.
	LoadLag float64
	// BurstAt is when the burst starts, in seconds; 0 means never.
	BurstAt float64
	// ReclaimAt is when the first data centre gets its notice, in seconds; 0 means never.
	ReclaimAt float64
	// Grey makes the first engine slow.
	Grey bool
	// Load multiplies the rates.
	Load float64
}

// FalajMix returns a mix of reviews, summaries, debris checks and status reads.
func FalajMix() (Mix, error) {
	return loadMix(examples.Falaj, []stream{
		{workspace: "incident-review", service: "review", perSecond: 7, prompt: [2]int{3000, 6000}, shared: 2560, prefixes: 12, answer: [2]int{200, 400}},
		{workspace: "shift-summary", service: "summary", perSecond: 8, prompt: [2]int{700, 1500}, shared: 512, prefixes: 8, answer: [2]int{100, 200}},
		{workspace: "debris-check", service: "summary", perSecond: 8, prompt: [2]int{250, 400}, shared: 192, prefixes: 4, answer: [2]int{10, 30}},
		{workspace: "plant-nizwa", service: "summary", perSecond: 3, prompt: [2]int{300, 600}, shared: 128, prefixes: 4, answer: [2]int{40, 80}},
		{workspace: "plant-ibri", service: "summary", perSecond: 1, prompt: [2]int{300, 600}, shared: 128, prefixes: 4, answer: [2]int{40, 80}},
		{workspace: "plant-nizwa", service: "rakes", perSecond: 20},
		{workspace: "plant-ibri", service: "rakes", perSecond: 5},
	})
}

// BulakanMix returns a mix of quotations, answers to resellers, order emails and orders.
func BulakanMix() (Mix, error) {
	return loadMix(examples.Bulakan, []stream{
		{workspace: "quotations", service: "quotation", perSecond: 6, prompt: [2]int{1500, 3000}, shared: 1280, prefixes: 20, answer: [2]int{200, 350}},
		{workspace: "sales", service: "quotation", perSecond: 4, prompt: [2]int{1200, 2400}, shared: 1024, prefixes: 20, answer: [2]int{100, 250}},
		{workspace: "resellers", service: "quotation", perSecond: 5, prompt: [2]int{500, 1000}, shared: 384, prefixes: 10, answer: [2]int{60, 150}},
		{workspace: "tagging", service: "tagger", perSecond: 15, prompt: [2]int{400, 900}, shared: 320, prefixes: 3, answer: [2]int{5, 15}},
		{workspace: "warehouse", service: "tagger", perSecond: 1, prompt: [2]int{300, 700}, shared: 192, prefixes: 3, answer: [2]int{20, 60}},
		{workspace: "resellers", service: "orders", perSecond: 15},
		{workspace: "warehouse", service: "orders", perSecond: 3},
	})
}

func loadMix(name string, streams []stream) (Mix, error) {
	mix := Mix{Name: name, streams: streams}
	var err error
	if mix.deployment, err = examples.Load(name); err != nil {
		return mix, fmt.Errorf("load mix %s: %w", name, err)
	}
	if err := json.Unmarshal(mix.deployment.Configuration, &mix.configuration); err != nil {
		return mix, fmt.Errorf("parse configuration of mix %s: %w", name, err)
	}
	mix.services = slices.Sorted(maps.Keys(mix.configuration.Services))
	return mix, nil
}

// Scenarios returns the scenarios of a mix.
func Scenarios(mix Mix) []Scenario {
	ordinary := Scenario{Name: "ordinary day", Mix: mix, Seconds: runSeconds, LoadLag: ordinaryLag, Load: 1}
	burst, reclaim, grey := ordinary, ordinary, ordinary
	burst.Name, burst.BurstAt = "wake-up burst", 10
	reclaim.Name, reclaim.ReclaimAt, reclaim.Load = "reclaim", 15, reclaimLoad
	grey.Name, grey.Grey = "grey engine", true
	scenarios := []Scenario{ordinary, burst, reclaim, grey}
	for _, lag := range []float64{1, 5, 15} {
		lagging := ordinary
		lagging.Name, lagging.LoadLag = fmt.Sprintf("load lag %.0f s", lag), lag
		scenarios = append(scenarios, lagging)
	}
	return scenarios
}

// workload returns the requests of a scenario in order of arrival; it is the same
// for every policy.
func workload(scenario Scenario, seed uint64) []*request {
	rng := rand.New(rand.NewPCG(seed, 2)) //nolint:gosec // A simulation needs a seed, no secret.
	var requests []*request
	for _, s := range scenario.Mix.streams {
		for t := rng.ExpFloat64() / (s.perSecond * scenario.Load); t < scenario.Seconds; t += rng.ExpFloat64() / (s.perSecond * scenario.Load) {
			requests = append(requests, newRequest(scenario.Mix, s, t, rng))
		}
		if scenario.BurstAt == 0 {
			continue
		}
		for range int(s.perSecond * burstSeconds) {
			requests = append(requests, newRequest(scenario.Mix, s, scenario.BurstAt+rng.Float64(), rng))
		}
	}
	slices.SortFunc(requests, func(a, b *request) int {
		if a.arrived < b.arrived {
			return -1
		}
		return 1
	})
	for i, r := range requests {
		r.id = uint64(i + 1)
	}
	return requests
}

func newRequest(mix Mix, s stream, arrived float64, rng *rand.Rand) *request {
	r := &request{arrived: arrived, workspace: s.workspace, service: s.service, key: rng.Uint64()}
	if mix.configuration.Services[s.service].Kind == api.ServiceKindPlain {
		r.plain, r.answer = true, 1
		return r
	}
	for _, route := range mix.configuration.Routes {
		if route.Workspace == s.workspace && route.Service == s.service {
			r.priority = route.Priority
		}
	}
	r.prompt = uniform(s.prompt, rng)
	r.answer = uniform(s.answer, rng)
	prefix := int(float64(s.prefixes) * rng.Float64() * rng.Float64())
	for i := range r.prompt / prompt.BlockTokens {
		name := fmt.Sprintf("%s/%s/%d/%d", s.workspace, s.service, prefix, i)
		if i >= s.shared/prompt.BlockTokens {
			name = fmt.Sprintf("%d/%d", rng.Uint64(), i)
		}
		r.blocks = append(r.blocks, xxhash.Sum64String(name))
	}
	r.key = r.blocks[0]
	return r
}

func uniform(bounds [2]int, rng *rand.Rand) int { return bounds[0] + rng.IntN(bounds[1]-bounds[0]+1) }
