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

// LaunchFunc starts the process of a new host. It returns the host's entry in the host list and
// a function that kills it.
type LaunchFunc func(request api.StartHostRequest, id string) (api.Host, func(), error)

// Cloud is a stand-in for the cloud API and the lagging host list.
type Cloud struct {
	mu            sync.Mutex
	hosts         map[string]*cloudHost
	hostIDByToken map[string]string
	launch        LaunchFunc
	list          hostList
	faults        cloudFaults
	refusedCount  int
	listReads     int
}

// cloudFaults are the injected faults of the cloud API.
type cloudFaults struct {
	down               bool
	refusedStarts      map[startKind]bool
	startDelay         time.Duration
	dropStartResponses int
}

// startKind selects start requests; an empty field matches any value.
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

// NewCloud returns a cloud whose host list is delayed by lag.
func NewCloud(lag time.Duration, launch LaunchFunc) *Cloud {
	return &Cloud{hosts: map[string]*cloudHost{}, hostIDByToken: map[string]string{}, launch: launch, list: hostList{lag: lag}}
}

// Add registers a running host; kill is called when it is reclaimed.
func (c *Cloud) Add(host api.Host, kill func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[host.ID] = &cloudHost{host: host, kill: kill}
	c.recordHostList()
}

// Remove removes a host, as when its process ends.
func (c *Cloud) Remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.hosts, id)
	c.recordHostList()
}

// SetDown makes listing and new starts in the cloud API fail until it is set to false.
func (c *Cloud) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults.down = down
}

// RefuseStarts refuses or allows starts of a machine class in a data centre; an empty class or
// data centre matches any.
func (c *Cloud) RefuseStarts(class, dataCentre string, refuse bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults.refusedStarts == nil {
		c.faults.refusedStarts = map[startKind]bool{}
	}
	c.faults.refusedStarts[startKind{class, dataCentre}] = refuse
}

// SetStartDelay sets the time from the start of a host until its process runs.
func (c *Cloud) SetStartDelay(delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults.startDelay = delay
}

// DropStartResponses makes the next n starts take effect without a response.
func (c *Cloud) DropStartResponses(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults.dropStartResponses = n
}

// SetListLag sets the delay of the host list.
func (c *Cloud) SetListLag(lag time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list.lag = lag
}

// TruncateList omits a fraction of the hosts from the host list, from 0 (none) to 1 (all).
func (c *Cloud) TruncateList(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list.missingShare = share
}

// ListReads returns the number of reads of the host list.
func (c *Cloud) ListReads() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listReads
}

// Started returns the number of hosts that were started by request.
func (c *Cloud) Started() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.hostIDByToken)
}

// RefusedStarts returns the number of starts that were refused.
func (c *Cloud) RefusedStarts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusedCount
}

func (f cloudFaults) refuses(class, dataCentre string) bool {
	for _, kind := range []startKind{{}, {class, ""}, {"", dataCentre}, {class, dataCentre}} {
		if f.refusedStarts[kind] {
			return true
		}
	}
	return false
}

// Reclaim gives notice to one host and kills it at the end of the notice.
func (c *Cloud) Reclaim(id string, notice time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reclaim(id, notice)
	c.recordHostList()
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
	c.recordHostList()
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
		c.terminate(id)
	})
}

// terminate removes a host and kills its process.
func (c *Cloud) terminate(id string) {
	c.mu.Lock()
	known, ok := c.hosts[id]
	delete(c.hosts, id)
	c.recordHostList()
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

// recordHostList adds the current hosts to the history of the host list.
func (c *Cloud) recordHostList() {
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
	c.listReads++
	list := c.list.current(time.Now())
	writeWithETag(w, r, list.Hosts, list)
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
		list.Hosts = append(list.Hosts, c.hosts[id].apiHost())
	}
	writeWithETag(w, r, list, list)
}

func (h *cloudHost) apiHost() api.CloudHost {
	host := api.CloudHost{
		ID:           h.host.ID,
		MachineClass: h.host.MachineClass,
		DataCentre:   h.host.DataCentre,
		State:        api.CloudHostStateRunning,
		Token:        h.token,
	}
	if h.starting {
		host.State = api.CloudHostStateStarting
	}
	if !h.reclaimAt.IsZero() {
		host.State = api.CloudHostStateReclaiming
		host.ReclaimAtMS = h.reclaimAt.UnixMilli()
	}
	return host
}

func (c *Cloud) start(w http.ResponseWriter, r *http.Request) {
	var request api.StartHostRequest
	if !readJSON(w, r, &request) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if id, seen := c.hostIDByToken[request.Token]; seen {
		c.writeStarted(w, id)
		return
	}
	if c.faults.down {
		http.Error(w, "cloud API is down", http.StatusServiceUnavailable)
		return
	}
	if c.launch == nil || c.faults.refuses(request.MachineClass, request.DataCentre) {
		c.refusedCount++
		http.Error(w, "no capacity for "+request.MachineClass+" in "+request.DataCentre, http.StatusConflict)
		return
	}
	id := strings.ToLower(request.MachineClass) + "-" + uuid.NewString()[:8]
	c.hostIDByToken[request.Token] = id
	c.hosts[id] = &cloudHost{
		host:     api.Host{ID: id, MachineClass: request.MachineClass, DataCentre: request.DataCentre},
		token:    request.Token,
		starting: true,
		kill:     func() {},
	}
	time.AfterFunc(c.faults.startDelay, func() { c.launchHost(id, request) })
	if c.faults.dropStartResponses > 0 {
		c.faults.dropStartResponses--
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusCreated, c.hosts[id].apiHost())
}

// writeStarted responds to a repeated start with the host, or with the state gone if it was
// removed, since a token starts only one host.
func (c *Cloud) writeStarted(w http.ResponseWriter, id string) {
	if known, running := c.hosts[id]; running {
		writeJSON(w, http.StatusOK, known.apiHost())
		return
	}
	writeJSON(w, http.StatusOK, api.CloudHost{ID: id, State: api.CloudHostStateGone})
}

// launchHost starts the process of a requested host. If the host was removed in the meantime, it
// kills the process.
func (c *Cloud) launchHost(id string, request api.StartHostRequest) {
	host, kill, err := c.launch(request, id)
	c.mu.Lock()
	defer c.mu.Unlock()
	known, present := c.hosts[id]
	if err != nil {
		delete(c.hosts, id)
		return
	}
	if !present {
		kill()
		return
	}
	known.host, known.kill, known.starting = host, kill, false
	c.recordHostList()
}

func (c *Cloud) stop(w http.ResponseWriter, r *http.Request) {
	c.terminate(r.PathValue("id"))
	w.WriteHeader(http.StatusNoContent)
}
