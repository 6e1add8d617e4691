package serving

// Question describes a request that is not sent, or names one that has ended.
type Question struct {
	// RequestID of a request that has ended; the other fields are then not looked at.
	RequestID string `json:"request_id,omitempty"`
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
	// Queue is where the request would wait for a place at an engine; absent if none of the service's do.
	Queue *QueueExplanation `json:"queue,omitempty"`
}

// QueueExplanation says where the request would wait for a place at an engine.
type QueueExplanation struct {
	// Verdict is run, wait, full or deadline.
	Verdict string `json:"verdict"`
	// Rank of the request; 0 is the highest. Ahead is the number of waiting requests that would start first.
	Rank  int `json:"rank"`
	Ahead int `json:"ahead"`
	// Waiting and Running are the service's requests at this node.
	Waiting int `json:"waiting"`
	Running int `json:"running"`
	// ExpectedMS is how long it would wait.
	ExpectedMS float64 `json:"expected_ms"`
}

// RecentExplanation says what was decided about a request that has ended.
type RecentExplanation struct {
	ID string `json:"request_id"`
	// AgeMS is the time since the request came.
	AgeMS         float64 `json:"age_ms"`
	Route         string  `json:"route,omitempty"`
	Service       string  `json:"service,omitempty"`
	Workspace     string  `json:"workspace,omitempty"`
	ConfigVersion int64   `json:"config_version"`
	ViewAgeMS     float64 `json:"view_age_ms,omitempty"`
	PromptTokens  int     `json:"prompt_tokens"`
	SharedTokens  int     `json:"shared_tokens,omitempty"`
	// Result is what the caller got, Refused the message of a refusal before any choice.
	Result  string `json:"result"`
	Status  int    `json:"status"`
	Refused string `json:"refused,omitempty"`
	// WaitedMS is the time in the queue, FirstByteMS that until the caller was sent the first byte.
	WaitedMS    float64  `json:"waited_ms,omitempty"`
	FirstByteMS *float64 `json:"first_byte_ms,omitempty"`
	TookMS      float64  `json:"took_ms"`
	// HedgeDenied is why a slow request was not sent a second time; RetryDenied is set if the retry budget
	// had no more.
	HedgeDenied string          `json:"hedge_denied,omitempty"`
	RetryDenied bool            `json:"retry_denied,omitempty"`
	Attempts    []RecentAttempt `json:"attempts"`
}

// RecentAttempt is a choice of an upstream and what came of it.
type RecentAttempt struct {
	Upstream string `json:"upstream"`
	Version  string `json:"version,omitempty"`
	Outcome  string `json:"outcome"`
	Error    string `json:"error,omitempty"`
	Hedge    bool   `json:"hedge,omitempty"`
	// Price, QueueMS, CachedTokens and FetchTokens are what the choice rested on.
	Price        float64 `json:"price"`
	QueueMS      float64 `json:"queue_ms"`
	CachedTokens int     `json:"cached_tokens"`
	FetchTokens  int     `json:"fetch_tokens"`
	TookMS       float64 `json:"took_ms"`
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
