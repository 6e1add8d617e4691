package serving

// Question describes a request that is not sent.
type Question struct {
	// Host and Path select the route.
	Host string `json:"host"`
	Path string `json:"path"`
	// Key of a workspace, or the Workspace by name.
	Key       string `json:"key,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	// PromptTokens and AnswerTokens that the caller would declare.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	AnswerTokens int `json:"answer_tokens,omitempty"`
	// Parts of the prompt, in order.
	Parts []PromptPart `json:"parts,omitempty"`
}

// Explanation says where a request would go now, and why.
type Explanation struct {
	ConfigVersion int64 `json:"config_version"`
	// ViewAgeMS and RegistryAgeMS are the ages of what the decision rests on.
	ViewAgeMS     float64 `json:"view_age_ms"`
	RegistryAgeMS float64 `json:"registry_age_ms"`

	Route     RouteExplanation     `json:"route"`
	Admission AdmissionExplanation `json:"admission"`
	// Candidates of the service, the chosen one first, then by price.
	Candidates []CandidateExplanation `json:"candidates"`
	// Choice and Fallback are ids of upstreams; Fallback would get a second attempt. Error says why there
	// is no choice.
	Choice   string           `json:"choice,omitempty"`
	Fallback string           `json:"fallback,omitempty"`
	Error    string           `json:"error,omitempty"`
	Hedge    HedgeExplanation `json:"hedge"`
}

// RouteExplanation is the route and the service that was drawn by weight.
type RouteExplanation struct {
	Name            string         `json:"name"`
	Kind            string         `json:"kind"`
	Service         string         `json:"service"`
	Weights         map[string]int `json:"weights"`
	MaxAttempts     int            `json:"max_attempts"`
	LatencyTargetMS float64        `json:"latency_target_ms"`
}

// AdmissionExplanation says whether the node would admit the request.
type AdmissionExplanation struct {
	Workspace string `json:"workspace,omitempty"`
	Priority  int    `json:"priority"`
	// QuotaLeft is what is left of the workspace's quota, QuotaCost what the request would cost; both are
	// absent if there is no quota.
	QuotaLeft *float64 `json:"quota_left,omitempty"`
	QuotaCost float64  `json:"quota_cost,omitempty"`
	// RetriesLeft is this node's part of the service's retry budget.
	RetriesLeft float64 `json:"retries_left"`
	// Refused is why the request would be refused; empty if it is admitted.
	Refused string `json:"refused,omitempty"`
}

// CandidateExplanation is what the decision found of an upstream.
type CandidateExplanation struct {
	Upstream   string `json:"upstream"`
	DataCentre string `json:"data_centre"`
	Health     string `json:"health"`
	// Removed is why it gets no attempt.
	Removed string `json:"removed,omitempty"`
	// LastResort upstreams are chosen only if there is no other.
	LastResort bool `json:"last_resort,omitempty"`
	// Price is the sum of Prices, by scorer.
	Price  float64            `json:"price,omitempty"`
	Prices map[string]float64 `json:"prices,omitempty"`
	// QueueMS and PrefillMS are forecasts; CachedTokens and FetchTokens are the parts of the prompt that need no prefill.
	QueueMS      float64 `json:"queue_ms"`
	PrefillMS    float64 `json:"prefill_ms"`
	CachedTokens int     `json:"cached_tokens"`
	FetchTokens  int     `json:"fetch_tokens"`
	// InFlight and Waiting are this node's requests there, and those of them without a first token.
	InFlight int64 `json:"in_flight"`
	Waiting  int   `json:"waiting"`
	// LoadAgeMS is the age of the last load report, LimitAgeMS that of the limit; absent if there is none.
	LoadAgeMS  *float64 `json:"load_age_ms,omitempty"`
	LimitAgeMS *float64 `json:"limit_age_ms,omitempty"`
	Limit      *float64 `json:"limit_per_s,omitempty"`
}

// HedgeExplanation says whether a second attempt would be sent beside a slow first one.
type HedgeExplanation struct {
	// AfterMS is the delay; absent if there is none.
	AfterMS *float64 `json:"after_ms,omitempty"`
	// Denied is why none would be sent, as of now.
	Denied string `json:"denied,omitempty"`
}
