package standin

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/persimmonline/persimmonline/api"
)

// Launch starts the process of a new host and returns its entry in the host list
// and the function that kills it.
type Launch func(request api.StartHostRequest, id string) (api.Host, func(), error)

// Cloud is a stand-in for the cloud API and the lagging host list.
type Cloud struct {
	mu      sync.Mutex
	hosts   map[string]*cloudHost
	tokens  map[string]string
	launch  Launch
	refuse  bool
	lag     time.Duration
	history []api.HostList
}

type cloudHost struct {
	host      api.Host
	reclaimAt time.Time
	kill      func()
	timer     *time.Timer
}

// NewCloud returns a cloud whose host list lags by lag.
func NewCloud(lag time.Duration, launch Launch) *Cloud {
	return &Cloud{hosts: map[string]*cloudHost{}, tokens: map[string]string{}, launch: launch, lag: lag}
}

// Add registers a host that runs already; kill is called when it is reclaimed.
func (c *Cloud) Add(host api.Host, kill func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[host.ID] = &cloudHost{host: host, kill: kill}
	c.record()
}

// Remove takes a host away, as when its process ends.
func (c *Cloud) Remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.hosts, id)
	c.record()
}

// RefuseStarts makes every start fail.
func (c *Cloud) RefuseStarts(refuse bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refuse = refuse
}

// Reclaim gives notice to one host and kills it when the notice ends.
func (c *Cloud) Reclaim(id string, notice time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reclaim(id, notice)
	c.record()
}

// ReclaimDataCentre gives notice to all upstream hosts of a data centre and returns
// their ids.
func (c *Cloud) ReclaimDataCentre(dataCentre string, notice time.Duration) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id, known := range c.hosts {
		if known.host.DataCentre == dataCentre && known.host.Role != api.HostRoleNode {
			c.reclaim(id, notice)
			ids = append(ids, id)
		}
	}
	c.record()
	slices.Sort(ids)
	return ids
}

func (c *Cloud) reclaim(id string, notice time.Duration) {
	known, ok := c.hosts[id]
	if !ok || !known.reclaimAt.IsZero() {
		return
	}
	known.reclaimAt = time.Now().Add(notice)
	known.host.State = api.HostStateLeaving
	known.timer = time.AfterFunc(notice, func() {
		known.kill()
		c.Remove(id)
	})
}

// Close kills all hosts.
func (c *Cloud) Close() {
	c.mu.Lock()
	hosts := slices.Collect(maps.Values(c.hosts))
	c.hosts = map[string]*cloudHost{}
	c.mu.Unlock()
	for _, known := range hosts {
		if known.timer != nil {
			known.timer.Stop()
		}
		known.kill()
	}
}

// Handler serves the protocols of the cloud API and the host list.
func (c *Cloud) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", c.listHosts)
	mux.HandleFunc("GET /v1/cloud/hosts", c.listCloud)
	mux.HandleFunc("POST /v1/cloud/hosts", c.start)
	mux.HandleFunc("DELETE /v1/cloud/hosts/{id}", c.stop)
	return mux
}

// record keeps the host list as it is now; old lists that no lag needs are dropped.
func (c *Cloud) record() {
	list := api.HostList{AtMS: time.Now().UnixMilli(), Hosts: []api.Host{}}
	for _, id := range slices.Sorted(maps.Keys(c.hosts)) {
		list.Hosts = append(list.Hosts, c.hosts[id].host)
	}
	c.history = append(c.history, list)
	for len(c.history) > 1 && c.history[1].AtMS < time.Now().Add(-c.lag).UnixMilli() {
		c.history = c.history[1:]
	}
}

func (c *Cloud) listHosts(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now().Add(-c.lag).UnixMilli()
	var current api.HostList
	for i, list := range c.history {
		if i == 0 || list.AtMS <= at {
			current = list
		}
	}
	current.AtMS = max(current.AtMS, at)
	writeJSON(w, http.StatusOK, current)
}

func (c *Cloud) listCloud(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := api.CloudHosts{Hosts: []api.CloudHost{}}
	for _, id := range slices.Sorted(maps.Keys(c.hosts)) {
		list.Hosts = append(list.Hosts, c.hosts[id].cloudHost())
	}
	writeJSON(w, http.StatusOK, list)
}

func (h *cloudHost) cloudHost() api.CloudHost {
	described := api.CloudHost{
		ID:           h.host.ID,
		MachineClass: h.host.MachineClass,
		DataCentre:   h.host.DataCentre,
		State:        api.CloudHostStateRunning,
	}
	if !h.reclaimAt.IsZero() {
		described.State = api.CloudHostStateReclaiming
		described.ReclaimAtMS = h.reclaimAt.UnixMilli()
	}
	return described
}

func (c *Cloud) start(w http.ResponseWriter, r *http.Request) {
	var request api.StartHostRequest
	if !readJSON(w, r, &request) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if id, seen := c.tokens[request.Token]; seen {
		if known, running := c.hosts[id]; running {
			writeJSON(w, http.StatusOK, known.cloudHost())
			return
		}
	}
	if c.refuse || c.launch == nil {
		http.Error(w, "no capacity", http.StatusConflict)
		return
	}
	id := strings.ToLower(request.MachineClass) + "-" + uuid.NewString()[:8]
	host, kill, err := c.launch(request, id)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	c.tokens[request.Token] = id
	c.hosts[id] = &cloudHost{host: host, kill: kill}
	c.record()
	writeJSON(w, http.StatusCreated, c.hosts[id].cloudHost())
}

func (c *Cloud) stop(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	known, ok := c.hosts[r.PathValue("id")]
	if ok {
		delete(c.hosts, known.host.ID)
		c.record()
	}
	c.mu.Unlock()
	if ok {
		known.kill()
	}
	w.WriteHeader(http.StatusNoContent)
}
