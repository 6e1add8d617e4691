package admin

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/control"
)

// stateSilent is the reported state of a node without a recent heartbeat.
const stateSilent = "silent"

func (a *API) status(w http.ResponseWriter, _ *http.Request, _ string) {
	snapshot := a.Control.Snapshot()
	own := nodeStatus(a.OwnHeartbeat())
	report := api.StatusReport{
		Node:      own,
		Nodes:     []api.NodeStatus{own},
		Upstreams: upstreams(snapshot),
		Refusals:  a.Refusals(),
		Plan:      a.Plan().Summary,
	}
	report.Nodes = append(report.Nodes, peerStatuses(snapshot, own.NodeID)...)
	slices.SortFunc(report.Nodes, func(x, y api.NodeStatus) int { return strings.Compare(x.NodeID, y.NodeID) })
	writeJSON(w, http.StatusOK, report)
}

// peerStatuses returns the peers with a recent heartbeat and those on the host list. A
// silent peer that is no longer on the host list is omitted.
func peerStatuses(snapshot *control.Snapshot, own string) []api.NodeStatus {
	listed := map[string]bool{}
	for _, member := range snapshot.Members.Nodes {
		listed[member.Address] = true
	}
	var statuses []api.NodeStatus
	for _, known := range snapshot.Peers {
		silent := time.Since(known.LastSeen) > peerTimeout
		if known.NodeID == own || silent && !listed[known.PeerAddress] {
			continue
		}
		status := nodeStatus(known.Heartbeat)
		if silent {
			status.State = stateSilent
		}
		delete(listed, known.PeerAddress)
		statuses = append(statuses, status)
	}
	return statuses
}

func nodeStatus(heartbeat api.Heartbeat) api.NodeStatus {
	return api.NodeStatus{
		NodeID:        heartbeat.NodeID,
		Incarnation:   heartbeat.Incarnation,
		DataCentre:    heartbeat.DataCentre,
		State:         string(heartbeat.State),
		ConfigVersion: heartbeat.ConfigVersion,
		ConfigAgeMS:   heartbeat.ConfigAgeMS,
		ConfigState:   heartbeat.ConfigState,
		InFlight:      heartbeat.InFlight,
	}
}

func upstreams(snapshot *control.Snapshot) []api.UpstreamStatus {
	inFlight := map[string]int{}
	services := map[string][]string{}
	for service, list := range snapshot.Fleet.ByService {
		for _, upstream := range list {
			inFlight[upstream.ID] = int(upstream.Tracker.InFlight.Load())
			services[upstream.ID] = append(services[upstream.ID], service)
		}
	}
	list := make([]api.UpstreamStatus, 0, len(snapshot.Members.Upstreams))
	for _, member := range snapshot.Members.Upstreams {
		slices.Sort(services[member.ID])
		list = append(list, api.UpstreamStatus{
			HostID:       member.ID,
			Role:         string(member.Role),
			Service:      strings.Join(services[member.ID], ","),
			Address:      member.Address,
			DataCentre:   member.DataCentre,
			MachineClass: member.MachineClass,
			State:        string(member.Health),
			InFlight:     inFlight[member.ID],
		})
	}
	return list
}
