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

// LaunchFunc starts the process of a new host and returns its entry in the host list
// and the function that kills it.
type LaunchFunc func(request api.StartHostRequest, id string) (api.Host, func(), error)

// Cloud is a stand-in for the cloud API and the lagging host list.
type Cloud struct {
	mu      sync.Mutex
	hosts   map[string]*cloudHost
	tokens  map[string]string
	launch  LaunchFunc
	list    hostList
	faults  cloudFaults
	refused int
	reads   int
}

// cloudFaults are the switches of the cloud's faults.
type cloudFaults struct {
	down       bool
	refuse     map[startKind]bool
	startDelay time.Duration
	loseStarts int
}

// startKind names starts; an empty field is any.
type startKind struct {
	class      string
	dataCentre string
}

type cloudHost struct {
	host      api.Host
	token     string
	starting  bool
	reclaimAt time.Time
	kill      func()
	timer     *time.Timer
}

// NewCloud returns a cloud whose host list lags by lag.
func NewCloud(lag time.Duration, launch LaunchFunc) *Cloud {
	return &Cloud{hosts: map[string]*cloudHost{}, tokens: map[string]string{}, launch: launch, list: hostList{lag: lag}}
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

// SetDown makes every call of the cloud API fail until it is set to false.
func (c *Cloud) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults.down = down
}

// RefuseStarts makes starts of a machine class in a data centre fail, or stops that;
// an empty class or data centre is any.
func (c *Cloud) RefuseStarts(class, dataCentre string, refuse bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults.refuse == nil {
		c.faults.refuse = map[startKind]bool{}
	}
	c.faults.refuse[startKind{class, dataCentre}] = refuse
}

// SetStartDelay is how long a host takes until its process runs.
func (c *Cloud) SetStartDelay(delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults.startDelay = delay
}

// DropStartResponses makes the next n starts take effect and lose their answer.
func (c *Cloud) DropStartResponses(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults.loseStarts = n
}

// SetListLag is how late the host list is from now on.
func (c *Cloud) SetListLag(lag time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list.lag = lag
}

// TruncateList makes the host list lack a share of its hosts, from 0 (none) to 1 (all).
func (c *Cloud) TruncateList(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list.torn = share
}

// ListReads returns how often the host list was read.
func (c *Cloud) ListReads() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reads
}

// Started returns the number of hosts that were started by request.
func (c *Cloud) Started() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.tokens)
}

// RefusedStarts returns the number of starts that were refused.
func (c *Cloud) RefusedStarts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

func (f cloudFaults) refuses(class, dataCentre string) bool {
	for _, kind := range []startKind{{}, {class, ""}, {"", dataCentre}, {class, dataCentre}} {
		if f.refuse[kind] {
			return true
		}
	}
	return false
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
		c.end(id)
	})
}

// end takes a host away and kills its process.
func (c *Cloud) end(id string) {
	c.mu.Lock()
	known, ok := c.hosts[id]
	delete(c.hosts, id)
	c.record()
	kill := func() {}
	if ok {
		kill = known.kill
	}
	c.mu.Unlock()
	kill()
}

// Close kills all hosts.
func (c *Cloud) Close() {
	c.mu.Lock()
	var kills []func()
	for _, known := range c.hosts {
		if known.timer != nil {
			known.timer.Stop()
		}
		kills = append(kills, known.kill)
	}
	c.hosts = map[string]*cloudHost{}
	c.mu.Unlock()
	for _, kill := range kills {
		kill()
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

// record keeps the host list as it is now.
func (c *Cloud) record() {
	hosts := []api.Host{}
	for _, id := range slices.Sorted(maps.Keys(c.hosts)) {
		if known := c.hosts[id]; !known.starting {
			hosts = append(hosts, known.host)
		}
	}
	c.list.record(hosts, time.Now())
}

func (c *Cloud) listHosts(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads++
	list := c.list.current(time.Now())
	writeTagged(w, r, list.Hosts, list)
}

func (c *Cloud) listCloud(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults.down {
		http.Error(w, "cloud API is down", http.StatusServiceUnavailable)
		return
	}
	list := api.CloudHosts{Hosts: []api.CloudHost{}}
	for _, id := range slices.Sorted(maps.Keys(c.hosts)) {
		list.Hosts = append(list.Hosts, c.hosts[id].cloudHost())
	}
	writeTagged(w, r, list, list)
}

func (h *cloudHost) cloudHost() api.CloudHost {
	described := api.CloudHost{
		ID:           h.host.ID,
		MachineClass: h.host.MachineClass,
		DataCentre:   h.host.DataCentre,
		State:        api.CloudHostStateRunning,
		Token:        h.token,
	}
	if h.starting {
		described.State = api.CloudHostStateStarting
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
		c.answerStarted(w, id)
		return
	}
	if c.faults.down {
		http.Error(w, "cloud API is down", http.StatusServiceUnavailable)
		return
	}
	if c.launch == nil || c.faults.refuses(request.MachineClass, request.DataCentre) {
		c.refused++
		http.Error(w, "no capacity for "+request.MachineClass+" in "+request.DataCentre, http.StatusConflict)
		return
	}
	id := strings.ToLower(request.MachineClass) + "-" + uuid.NewString()[:8]
	c.tokens[request.Token] = id
	c.hosts[id] = &cloudHost{
		host:     api.Host{ID: id, MachineClass: request.MachineClass, DataCentre: request.DataCentre},
		token:    request.Token,
		starting: true,
		kill:     func() {},
	}
	time.AfterFunc(c.faults.startDelay, func() { c.run(id, request) })
	if c.faults.loseStarts > 0 {
		c.faults.loseStarts--
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusCreated, c.hosts[id].cloudHost())
}

// answerStarted answers a repeated start: with the host, or that it is gone, since a
// token starts one host only.
func (c *Cloud) answerStarted(w http.ResponseWriter, id string) {
	if known, running := c.hosts[id]; running {
		writeJSON(w, http.StatusOK, known.cloudHost())
		return
	}
	writeJSON(w, http.StatusOK, api.CloudHost{ID: id, State: api.CloudHostStateGone})
}

// run starts the process of a host that was asked for, unless the host is gone.
func (c *Cloud) run(id string, request api.StartHostRequest) {
	host, kill, err := c.launch(request, id)
	c.mu.Lock()
	defer c.mu.Unlock()
	known, wanted := c.hosts[id]
	if err != nil {
		delete(c.hosts, id)
		return
	}
	if !wanted {
		kill()
		return
	}
	known.host, known.kill, known.starting = host, kill, false
	c.record()
}

func (c *Cloud) stop(w http.ResponseWriter, r *http.Request) {
	c.end(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}
