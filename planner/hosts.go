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

// tokenPrefix starts the tokens of hosts that a planner started.
const tokenPrefix = "planner"

// slot is one place in a group that one host may fill.
type slot struct {
	group  string
	number int
}

// token returns the token of a start. It follows from the decision alone, so that a
// second planner, a late one or one that lost an answer asks for the same host. The
// generation rises when the host of the last one is gone.
func (s slot) token(generation int) string {
	return fmt.Sprintf("%s/%s/%d/%d", tokenPrefix, s.group, s.number, generation)
}

// slotOf reads the slot and generation from a token; false when no planner made it.
func slotOf(token string) (slot, int, bool) {
	parts := strings.Split(token, "/")
	if len(parts) != 4 || parts[0] != tokenPrefix {
		return slot{}, 0, false
	}
	number, err := strconv.Atoi(parts[2])
	generation, genErr := strconv.Atoi(parts[3])
	return slot{parts[1], number}, generation, err == nil && genErr == nil
}

// census is the hosts of one group.
type census struct {
	running  []Host
	starting []Host
	leaving  int
	// byDataCentre counts running and starting hosts.
	byDataCentre map[string]int
	onDemand     int
	taken        map[int]bool
	unnumbered   int
}

// staying returns the number of hosts that run or start.
func (c *census) staying() int { return len(c.running) + len(c.starting) }

// groupOf says whether a host belongs to a group.
func groupOf(group api.HostGroup, host Host) bool {
	if !slices.Contains(group.MachineClasses, host.MachineClass) {
		return false
	}
	return host.Member == nil || (string(host.Member.Role) == group.Role && host.Member.Service == group.Service)
}

// isPlanned says whether a host belongs to any group.
func isPlanned(config *api.Configuration, host Host) bool {
	for _, group := range config.HostGroups {
		if groupOf(group, host) {
			return true
		}
	}
	return false
}

// count takes the census of a group.
func (p *Planner) count(in Input, name string, group api.HostGroup) *census {
	c := &census{byDataCentre: map[string]int{}, taken: map[int]bool{}}
	for _, host := range in.Hosts {
		numbered, generation, known := slotOf(host.Token)
		if known && numbered.group == name {
			p.generations[numbered] = max(p.generations[numbered], generation)
		}
		if (known && numbered.group != name) || !groupOf(group, host) {
			continue
		}
		_, draining := p.draining[host.ID]
		switch {
		case host.State == api.CloudHostStateReclaiming || draining || isLeaving(host) || p.isDead(host, in.Now):
			c.leaving++
			if known {
				p.generations[numbered] = max(p.generations[numbered], generation+1)
			}
			continue
		case host.State == api.CloudHostStateStarting || host.Member == nil:
			c.starting = append(c.starting, host)
		default:
			c.running = append(c.running, host)
		}
		c.byDataCentre[host.DataCentre]++
		if !in.Config.MachineClasses[host.MachineClass].Reclaimable {
			c.onDemand++
		}
		if known {
			c.taken[numbered.number] = true
		} else {
			c.unnumbered++
		}
	}
	return c
}

func isLeaving(host Host) bool {
	return host.Member != nil && host.Member.Health == membership.StateLeaving
}

// wantedHosts returns the number of hosts of a group and why. The reserve is what the
// loss of one data centre takes, when hosts are spread evenly.
func wantedHosts(group api.HostGroup, dataCentres int) (int, string) {
	hosts := max(0, group.Hosts)
	if !group.Reserve || dataCentres < 2 {
		return hosts, fmt.Sprintf("%d for the load", hosts)
	}
	total := (hosts*dataCentres + dataCentres - 2) / (dataCentres - 1)
	return total, fmt.Sprintf("%d for the load and %d so that one of %d data centres may go", hosts, total-hosts, dataCentres)
}

// planHosts compares each group with what is wanted and starts or drains hosts.
func (p *Planner) planHosts(in Input, plan *Plan) {
	centres := dataCentres(in)
	for _, name := range slices.Sorted(maps.Keys(in.Config.HostGroups)) {
		group := in.Config.HostGroups[name]
		wanted, reason := wantedHosts(group, len(centres))
		c := p.count(in, name, group)
		plan.Report.Groups = append(plan.Report.Groups, api.PlanGroup{
			Name: name, Wanted: wanted, Running: len(c.running), Starting: len(c.starting), Leaving: c.leaving, Reason: reason,
		})
		if c.staying() > wanted {
			p.planDrain(in, plan, name, c)
			continue
		}
		delete(p.surplus, name)
		for range wanted - c.staying() {
			if len(plan.Starts) >= maxStarts || !p.planStart(in, plan, name, c, centres) {
				break
			}
		}
	}
}

// planStart adds the start of one host in the place that is best now; false when all
// places are avoided.
func (p *Planner) planStart(in Input, plan *Plan, name string, c *census, centres []string) bool {
	group := in.Config.HostGroups[name]
	where, ok := p.bestPlace(in, group, c, centres)
	if !ok {
		return false
	}
	free := slot{name, c.freeSlot()}
	plan.Starts = append(plan.Starts, Start{
		Group: name,
		Request: api.StartHostRequest{
			Token:        free.token(p.generations[free]),
			MachineClass: where.class,
			DataCentre:   where.dataCentre,
			Role:         group.Role,
			Service:      group.Service,
		},
		Reason: fmt.Sprintf("group %s has %d hosts that stay", name, c.staying()),
		slot:   free,
	})
	c.starting = append(c.starting, Host{CloudHost: api.CloudHost{MachineClass: where.class, DataCentre: where.dataCentre}})
	c.byDataCentre[where.dataCentre]++
	c.taken[free.number] = true
	if !in.Config.MachineClasses[where.class].Reclaimable {
		c.onDemand++
	}
	return true
}

// freeSlot returns the lowest number that no host has; hosts that no planner started
// stand for the lowest numbers that are free.
func (c *census) freeSlot() int {
	skip := c.unnumbered
	for number := 0; ; number++ {
		if c.taken[number] {
			continue
		}
		if skip == 0 {
			return number
		}
		skip--
	}
}

// bestPlace returns the open place for one more host: in the data centre with the
// fewest hosts of the group, on the cheapest class that the share of hosts that can't
// be reclaimed allows. Where only the other kind is open, that is taken.
func (p *Planner) bestPlace(in Input, group api.HostGroup, c *census, centres []string) (place, bool) {
	needOnDemand := c.onDemand < group.OnDemand
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
			count := c.byDataCentre[centre]
			better := !found || (fits && !bestFits) || (fits == bestFits && count < bestCount)
			if better {
				best, bestCount, bestFits, found = where, count, fits, true
			}
		}
	}
	return best, found
}

// planDrain drains one host of a group that has had too many for a while: in the
// fullest data centre, of the dearest class there.
func (p *Planner) planDrain(in Input, plan *Plan, name string, c *census) {
	since, known := p.surplus[name]
	if !known {
		p.surplus[name] = in.Now
		return
	}
	if in.Now.Sub(since) < surplusAfter || len(c.running) == 0 {
		return
	}
	p.surplus[name] = in.Now
	candidates := c.running
	if c.onDemand <= in.Config.HostGroups[name].OnDemand {
		candidates = slices.DeleteFunc(slices.Clone(c.running), func(h Host) bool {
			return !in.Config.MachineClasses[h.MachineClass].Reclaimable
		})
	}
	if len(candidates) == 0 {
		return
	}
	chosen := slices.MaxFunc(candidates, func(a, b Host) int { return compareSurplus(in, c, a, b) })
	until := in.Now.Add(drainFor)
	p.draining[chosen.ID] = until
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

// compareSurplus orders hosts by how little they are needed.
func compareSurplus(in Input, c *census, a, b Host) int {
	if d := c.byDataCentre[a.DataCentre] - c.byDataCentre[b.DataCentre]; d != 0 {
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

// RecordStarted takes the answer to a start. A host that is gone already was started by the
// same decision earlier: the next round asks for the next generation.
func (p *Planner) RecordStarted(start Start, host api.CloudHost, _ time.Time) {
	delete(p.places, place{start.Request.MachineClass, start.Request.DataCentre})
	if host.State == api.CloudHostStateGone {
		_, generation, _ := slotOf(start.Request.Token)
		p.generations[start.slot] = max(p.generations[start.slot], generation+1)
	}
}
