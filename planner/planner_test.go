package planner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/persimmonline/persimmonline/api"
	_ "github.com/persimmonline/persimmonline/internal/fixedseed"
	"github.com/persimmonline/persimmonline/membership"
	"github.com/persimmonline/persimmonline/planner"
)

var (
	begin   = time.UnixMilli(1_000_000_000)
	centres = []string{"a", "b", "c", "d"}
)

func configuration() *api.Configuration {
	return &api.Configuration{
		DataCentres: centres,
		MachineClasses: map[string]api.MachineClass{
			"spot":     {PricePerHour: 1, Reclaimable: true, ReclaimsPerHour: 0.05},
			"ondemand": {PricePerHour: 4},
		},
		HostGroups: map[string]api.HostGroup{
			"engines": {Role: "engine", Hosts: 6, Reserve: true, OnDemand: 2, MachineClasses: []string{"ondemand", "spot"}},
		},
		Services: map[string]api.Service{
			"review": {Kind: api.ServiceKindModel, Replicas: 6},
		},
	}
}

// fakeCloud starts hosts immediately and deduplicates by token, as the cloud API does.
type fakeCloud struct {
	hosts   map[string]*planner.Host
	tokens  map[string]string
	refused map[string]bool
	starts  int
}

func newCloud() *fakeCloud {
	return &fakeCloud{hosts: map[string]*planner.Host{}, tokens: map[string]string{}, refused: map[string]bool{}}
}

func (c *fakeCloud) start(request api.StartHostRequest) (api.CloudHost, bool) {
	if id, seen := c.tokens[request.Token]; seen {
		if host, running := c.hosts[id]; running {
			return host.CloudHost, true
		}
		return api.CloudHost{ID: id, State: api.CloudHostStateGone}, true
	}
	if c.refused[request.DataCentre] {
		return api.CloudHost{}, false
	}
	c.starts++
	id := fmt.Sprintf("host-%02d", c.starts)
	c.tokens[request.Token] = id
	started := api.CloudHost{
		ID: id, MachineClass: request.MachineClass, DataCentre: request.DataCentre,
		State: api.CloudHostStateRunning, Token: request.Token,
	}
	c.hosts[id] = &planner.Host{
		CloudHost: started,
		Member: &membership.Member{
			Host:   api.Host{ID: id, Incarnation: "1", Role: api.HostRoleEngine, Address: id},
			Health: membership.StateLive,
		},
		Load: &api.EngineLoad{Incarnation: "1"},
	}
	return started, true
}

func (c *fakeCloud) input(now time.Time) planner.Input {
	in := planner.Input{Now: now, Fence: 7, Config: configuration()}
	for i := range c.starts {
		if host, running := c.hosts[fmt.Sprintf("host-%02d", i+1)]; running {
			in.Hosts = append(in.Hosts, *host)
		}
	}
	return in
}

// execute executes all steps of a plan.
func (c *fakeCloud) execute(p *planner.Planner, plan planner.Plan, now time.Time) {
	for _, start := range plan.Starts {
		if host, ok := c.start(start.Request); ok {
			p.RecordStarted(start, host, now)
		} else {
			p.RecordRefused(start, now)
		}
	}
	for _, drain := range plan.Drains {
		c.hosts[drain.Notice.HostID].Member.Health = membership.StateLeaving
	}
	for _, stop := range plan.Stops {
		delete(c.hosts, stop.HostID)
	}
	for _, order := range plan.Orders {
		host := c.hosts[order.HostID]
		load := *host.Load
		load.Models = []api.LoadedModel{{Name: order.Order.Model, Version: order.Order.Version}}
		host.Load = &load
	}
}

// runRounds runs rounds a second apart.
func (c *fakeCloud) runRounds(p *planner.Planner, from time.Time, rounds int) time.Time {
	for range rounds {
		c.execute(p, p.PlanRound(c.input(from)), from)
		from = from.Add(time.Second)
	}
	return from
}

func (c *fakeCloud) hostsByDataCentre() map[string]int {
	counts := map[string]int{}
	for _, host := range c.hosts {
		counts[host.DataCentre]++
	}
	return counts
}

func TestStartsWhatIsWantedSpreadAndNoMore(t *testing.T) {
	cloud, p := newCloud(), planner.New()
	require.Len(t, p.PlanRound(cloud.input(begin)).Starts, 4, "steps are bounded")
	cloud.runRounds(p, begin, 30)
	require.Equal(t, map[string]int{"a": 2, "b": 2, "c": 2, "d": 2}, cloud.hostsByDataCentre(), "6 and a reserve of 2, spread evenly")
	onDemand := 0
	for _, host := range cloud.hosts {
		require.Len(t, host.Load.Models, 1)
		if host.MachineClass == "ondemand" {
			onDemand++
		}
	}
	require.Equal(t, 2, onDemand, "the cheapest class except for the on-demand minimum")
}

func TestWaveIsReplacedElsewhereOnce(t *testing.T) {
	cloud, p := newCloud(), planner.New()
	now := cloud.runRounds(p, begin, 10)
	for _, host := range cloud.hosts {
		if host.DataCentre == "a" {
			host.State = api.CloudHostStateReclaiming
		}
	}
	now = cloud.runRounds(p, now, 2)
	require.Equal(t, 10, cloud.starts, "replaced on notice, before the hosts stop")
	for id, host := range cloud.hosts {
		if host.DataCentre == "a" {
			delete(cloud.hosts, id)
		}
	}
	cloud.runRounds(p, now, 300)
	require.Equal(t, 10, cloud.starts)
	require.Zero(t, cloud.hostsByDataCentre()["a"])
}

func TestRefusedStartsBackOffAndSaySo(t *testing.T) {
	cloud, p := newCloud(), planner.New()
	for _, centre := range centres {
		cloud.refused[centre] = true
	}
	starts := 0
	now := begin
	for range 120 {
		plan := p.PlanRound(cloud.input(now))
		starts += len(plan.Starts)
		cloud.execute(p, plan, now)
		now = now.Add(time.Second)
	}
	require.Less(t, starts, 60, "8 places, each tried at 0, 2, 6, 14, 30, 62 s")
	plan := p.PlanRound(cloud.input(now))
	require.Contains(t, plan.Report.Summary, "8 hosts missing")
	require.NotEmpty(t, plan.Report.Places)
	cloud.refused = map[string]bool{}
	cloud.runRounds(p, now, 130)
	require.Len(t, cloud.hosts, 8)
}

func TestRefusalInOnePlaceGoesElsewhere(t *testing.T) {
	cloud, p := newCloud(), planner.New()
	cloud.refused["a"] = true
	cloud.runRounds(p, begin, 20)
	require.Len(t, cloud.hosts, 8)
	require.Zero(t, cloud.hostsByDataCentre()["a"])
}

// TestSecondAndLatePlannersStartNothingTwice runs two planners on stale views and drops
// responses: a decision starts one host however often it is executed.
func TestSecondAndLatePlannersStartNothingTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cloud := newCloud()
		planners := []*planner.Planner{planner.New(), planner.New()}
		var late []planner.Plan
		now := begin
		for range rapid.IntRange(5, 40).Draw(rt, "rounds") {
			i := rapid.IntRange(0, 1).Draw(rt, "planner")
			plan := planners[i].PlanRound(cloud.input(now))
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0:
				late = append(late, plan)
			case 1:
				for _, start := range plan.Starts {
					cloud.start(start.Request)
				}
			case 2:
				if len(late) > 0 {
					cloud.execute(planners[1-i], late[0], now)
					late = late[1:]
				}
			default:
				cloud.execute(planners[i], plan, now)
			}
			now = now.Add(time.Second)
			require.LessOrEqual(rt, len(cloud.hosts), 8)
		}
	})
}

func TestSurplusIsDrainedSlowlyAndKeepsOnDemand(t *testing.T) {
	cloud, p := newCloud(), planner.New()
	for i := range 10 {
		class := "spot"
		if i < 2 {
			class = "ondemand"
		}
		cloud.start(api.StartHostRequest{Token: fmt.Sprint("by hand ", i), MachineClass: class, DataCentre: centres[i%4], Role: "engine"})
	}
	now := cloud.runRounds(p, begin, 100)
	require.Len(t, cloud.hosts, 10, "no host is stopped for a short surplus")
	cloud.runRounds(p, now, 600)
	require.Len(t, cloud.hosts, 8)
	onDemand := 0
	for _, host := range cloud.hosts {
		if host.MachineClass == "ondemand" {
			onDemand++
		}
	}
	require.Equal(t, 2, onDemand)
}

func TestDeadHostIsReplacedUnlessTheNodeDoubtsItself(t *testing.T) {
	cloud, p := newCloud(), planner.New()
	now := cloud.runRounds(p, begin, 10)
	for _, host := range cloud.hosts {
		host.Member.Health = membership.StateSuspect
	}
	now = cloud.runRounds(p, now, 60)
	require.Equal(t, 8, cloud.starts, "when all hosts fail, the fault is with this node")
	for _, host := range cloud.hosts {
		host.Member.Health = membership.StateLive
	}
	cloud.hosts["host-03"].Member.Health = membership.StateSuspect
	cloud.runRounds(p, now, 40)
	require.NotContains(t, cloud.hosts, "host-03")
	require.Len(t, cloud.hosts, 8)
}

func TestLoadsArePacedByTheWeightStore(t *testing.T) {
	cloud, p := newCloud(), planner.New()
	cloud.runRounds(p, begin, 3)
	for _, host := range cloud.hosts {
		host.Load = &api.EngineLoad{Incarnation: "1"}
	}
	in := cloud.input(begin.Add(time.Hour))
	in.Weights = &api.WeightList{BytesPerSecond: 1, Models: []api.WeightInfo{{Name: "review", Version: "1", Bytes: 8}}}
	p = planner.New()
	require.Len(t, p.PlanRound(in).Orders, 2, "8 s each; no further one once the queue exceeds 10 s")
	in.Now = in.Now.Add(time.Second)
	require.Empty(t, p.PlanRound(in).Orders)
	in.Now = in.Now.Add(9 * time.Second)
	orders := p.PlanRound(in).Orders
	repeated := 0
	for _, order := range orders {
		if order.Reason == "no effect shown yet; the same order again" {
			repeated++
		}
	}
	require.Equal(t, 2, repeated, "each pending order is sent again")
}

func TestNoLoadWhileEnginesHaveNotReported(t *testing.T) {
	cloud := newCloud()
	for i := range 8 {
		cloud.start(api.StartHostRequest{Token: fmt.Sprint("by hand ", i), MachineClass: "spot", DataCentre: centres[i%4], Role: "engine"})
	}
	for id, host := range cloud.hosts {
		host.Load = nil
		if id == "host-01" {
			host.Load = &api.EngineLoad{Incarnation: "1", Models: []api.LoadedModel{{Name: "other", Version: "1"}}}
		}
		if id == "host-02" {
			host.Member = nil
		}
	}
	require.Empty(t, planner.New().PlanRound(cloud.input(begin)).Orders)
	for id, host := range cloud.hosts {
		if id != "host-01" {
			host.Load = &api.EngineLoad{Incarnation: "1", Models: []api.LoadedModel{{Name: "other", Version: "1"}}}
		}
	}
	require.NotEmpty(t, planner.New().PlanRound(cloud.input(begin)).Orders)
}

func TestOrdersOfTwoLeasesHaveTheirOwnIDs(t *testing.T) {
	cloud, p := newCloud(), planner.New()
	cloud.runRounds(p, begin, 3)
	for _, host := range cloud.hosts {
		host.Load = &api.EngineLoad{Incarnation: "1"}
	}
	first, second := cloud.input(begin), cloud.input(begin)
	second.Fence = 8
	a := planner.New().PlanRound(first).Orders
	b := planner.New().PlanRound(second).Orders
	require.NotEmpty(t, a)
	require.NotEqual(t, a[0].Order.ID, b[0].Order.ID)
	require.Equal(t, a[0].Order.Model, b[0].Order.Model, "a late order has the same content")
}
