package planner

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/persimmonline/persimmonline/api"
	"github.com/persimmonline/persimmonline/membership"
)

// tokenPrefix is the first part of the token of a host that a planner started.
const tokenPrefix = "planner"

// slot is a numbered position in a group that one host may fill.
type slot struct {
	group  string
	number int
}

// token returns the idempotency token of a start. It is derived from the decision alone,
// so that a second planner, a late one or one that lost a response requests the same
// host. The generation increases when the host of the previous one is gone.
func (s slot) token(generation int) string {
	return fmt.Sprintf("%s/%s/%d/%d", tokenPrefix, s.group, s.number, generation)
}

// slotOf parses the slot and generation from a token; false when no planner issued it.
func slotOf(token string) (slot, int, bool) {
	parts := strings.Split(token, "/")
	if len(parts) != 4 || parts[0] != tokenPrefix {
		return slot{}, 0, false
	}
	number, err := strconv.Atoi(parts[2])
	generation, genErr := strconv.Atoi(parts[3])
	return slot{parts[1], number}, generation, err == nil && genErr == nil
}

// groupSnapshot is a snapshot of the hosts of one group.
type groupSnapshot struct {
	running  []Host
	starting []Host
	leaving  int
	// byDataCentre counts running and starting hosts.
	byDataCentre map[string]int
	onDemand     int
	usedNumbers  map[int]bool
	unnumbered   int
}

// activeCount returns the number of hosts that are running or starting.
func (s *groupSnapshot) activeCount() int { return len(s.running) + len(s.starting) }

// inGroup reports whether a host belongs to a group.
func inGroup(group api.HostGroup, host Host) bool {
	if !slices.Contains(group.MachineClasses, host.MachineClass) {
		return false
	}
	return host.Member == nil || (string(host.Member.Role) == group.Role && host.Member.Service == group.Service)
}

// isManaged reports whether a host belongs to any group.
func isManaged(config *api.Configuration, host Host) bool {
	for _, group := range config.HostGroups {
		if inGroup(group, host) {
			return true
		}
	}
	return false
}

// snapshotGroup returns the snapshot of a group and updates the generations of its slots.
func (p *Planner) snapshotGroup(in Input, name string, group api.HostGroup) *groupSnapshot {
	s := &groupSnapshot{byDataCentre: map[string]int{}, usedNumbers: map[int]bool{}}
	for _, host := range in.Hosts {
		numbered, generation, known := slotOf(host.Token)
		if known && numbered.group == name {
			p.generations[numbered] = max(p.generations[numbered], generation)
		}
		if (known && numbered.group != name) || !inGroup(group, host) {
			continue
		}
		_, draining := p.drainUntil[host.ID]
		switch {
		case host.State == api.CloudHostStateReclaiming || draining || isLeaving(host) || p.isDead(host, in.Now):
			s.leaving++
			if known {
				p.generations[numbered] = max(p.generations[numbered], generation+1)
			}
			continue
		case host.State == api.CloudHostStateStarting || host.Member == nil:
			s.starting = append(s.starting, host)
		default:
			s.running = append(s.running, host)
		}
		s.byDataCentre[host.DataCentre]++
		if !in.Config.MachineClasses[host.MachineClass].Reclaimable {
			s.onDemand++
		}
		if known {
			s.usedNumbers[numbered.number] = true
		} else {
			s.unnumbered++
		}
	}
	return s
}

func isLeaving(host Host) bool {
	return host.Member != nil && host.Member.Health == membership.StateLeaving
}

// desiredHosts returns the desired number of hosts of a group and the reason. The reserve
// covers the loss of one data centre, given that hosts are spread evenly.
func desiredHosts(group api.HostGroup, dataCentres int) (int, string) {
	hosts := max(0, group.Hosts)
	if !group.Reserve || dataCentres < 2 {
		return hosts, fmt.Sprintf("%d for the load", hosts)
	}
	total := (hosts*dataCentres + dataCentres - 2) / (dataCentres - 1)
	return total, fmt.Sprintf("%d for the load and %d so that one of %d data centres may go", hosts, total-hosts, dataCentres)
}

// planHosts compares each group with its desired size and starts or drains hosts.
func (p *Planner) planHosts(in Input, plan *Plan) {
	centres := dataCentres(in)
	for _, name := range slices.Sorted(maps.Keys(in.Config.HostGroups)) {
		group := in.Config.HostGroups[name]
		desired, reason := desiredHosts(group, len(centres))
		s := p.snapshotGroup(in, name, group)
		plan.Report.Groups = append(plan.Report.Groups, api.PlanGroup{
			Name: name, Wanted: desired, Running: len(s.running), Starting: len(s.starting), Leaving: s.leaving, Reason: reason,
		})
		if s.activeCount() > desired {
			p.planDrain(in, plan, name, s)
			continue
		}
		delete(p.surplusSince, name)
		for range desired - s.activeCount() {
			if len(plan.Starts) >= maxStarts || !p.planStart(in, plan, name, s, centres) {
				break
			}
		}
	}
}

// planStart adds the start of one host in the best place at present; false when all
// places are avoided.
func (p *Planner) planStart(in Input, plan *Plan, name string, s *groupSnapshot, centres []string) bool {
	group := in.Config.HostGroups[name]
	where, ok := p.bestPlace(in, group, s, centres)
	if !ok {
		return false
	}
	free := slot{name, s.freeSlot()}
	plan.Starts = append(plan.Starts, Start{
		Group: name,
		Request: api.StartHostRequest{
			Token:        free.token(p.generations[free]),
			MachineClass: where.class,
			DataCentre:   where.dataCentre,
			Role:         group.Role,
			Service:      group.Service,
		},
		Reason: fmt.Sprintf("group %s has %d hosts that stay", name, s.activeCount()),
		slot:   free,
	})
	s.starting = append(s.starting, Host{CloudHost: api.CloudHost{MachineClass: where.class, DataCentre: where.dataCentre}})
	s.byDataCentre[where.dataCentre]++
	s.usedNumbers[free.number] = true
	if !in.Config.MachineClasses[where.class].Reclaimable {
		s.onDemand++
	}
	return true
}

// freeSlot returns the lowest unused number; hosts that no planner started count as
// occupying the lowest free numbers.
func (s *groupSnapshot) freeSlot() int {
	skip := s.unnumbered
	for number := 0; ; number++ {
		if s.usedNumbers[number] {
			continue
		}
		if skip == 0 {
			return number
		}
		skip--
	}
}

// bestPlace returns the open place for one more host: in the data centre with the
// fewest hosts of the group, on the cheapest class that satisfies the group's minimum of
// on-demand hosts. If only reclaimable classes are open, one of those is used.
func (p *Planner) bestPlace(in Input, group api.HostGroup, s *groupSnapshot, centres []string) (place, bool) {
	needOnDemand := s.onDemand < group.OnDemand
	classes := classesByPrice(in.Config, group)
	var best place
	bestCount, bestFits, found := 0, false, false
	for _, centre := range centres {
		for _, class := range classes {
			where := place{class, centre}
			if !p.isOpen(where, in.Now) {
				continue
			}
			fits := !needOnDemand || !in.Config.MachineClasses[class].Reclaimable
			count := s.byDataCentre[centre]
			better := !found || (fits && !bestFits) || (fits == bestFits && count < bestCount)
			if better {
				best, bestCount, bestFits, found = where, count, fits, true
			}
		}
	}
	return best, found
}

// planDrain drains one host of a group that has had a surplus for surplusPeriod: in the
// data centre with the most hosts of the group, of the most expensive class there.
func (p *Planner) planDrain(in Input, plan *Plan, name string, s *groupSnapshot) {
	since, known := p.surplusSince[name]
	if !known {
		p.surplusSince[name] = in.Now
		return
	}
	if in.Now.Sub(since) < surplusPeriod || len(s.running) == 0 {
		return
	}
	p.surplusSince[name] = in.Now
	candidates := s.running
	if s.onDemand <= in.Config.HostGroups[name].OnDemand {
		candidates = slices.DeleteFunc(slices.Clone(s.running), func(h Host) bool {
			return !in.Config.MachineClasses[h.MachineClass].Reclaimable
		})
	}
	if len(candidates) == 0 {
		return
	}
	chosen := slices.MaxFunc(candidates, func(a, b Host) int { return compareSurplus(in, s, a, b) })
	until := in.Now.Add(drainPeriod)
	p.drainUntil[chosen.ID] = until
	plan.Drains = append(plan.Drains, Drain{
		Notice: api.LeavingHost{HostID: chosen.ID, Incarnation: incarnationOf(chosen), ReclaimAtMS: until.UnixMilli()},
		Reason: fmt.Sprintf("group %s has more hosts than wanted", name),
	})
}

func incarnationOf(host Host) string {
	if host.Member == nil {
		return ""
	}
	return host.Member.Incarnation
}

// compareSurplus orders hosts from the most to the least needed.
func compareSurplus(in Input, s *groupSnapshot, a, b Host) int {
	if d := s.byDataCentre[a.DataCentre] - s.byDataCentre[b.DataCentre]; d != 0 {
		return d
	}
	priceA := classPrice(in.Config.MachineClasses[a.MachineClass])
	priceB := classPrice(in.Config.MachineClasses[b.MachineClass])
	if priceA != priceB {
		if priceA > priceB {
			return 1
		}
		return -1
	}
	if d := b.InFlight - a.InFlight; d != 0 {
		return d
	}
	return strings.Compare(a.ID, b.ID)
}

// RecordStarted records a successful start. A host that is gone already was started
// earlier by the same decision: the next round requests the next generation.
func (p *Planner) RecordStarted(start Start, host api.CloudHost, _ time.Time) {
	delete(p.avoidances, place{start.Request.MachineClass, start.Request.DataCentre})
	if host.State == api.CloudHostStateGone {
		_, generation, _ := slotOf(start.Request.Token)
		p.generations[start.slot] = max(p.generations[start.slot], generation+1)
	}
}
