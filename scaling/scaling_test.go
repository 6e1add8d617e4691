package scaling_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/persimmonline/persimmonline/catalog"
	"github.com/persimmonline/persimmonline/scaling"
)

func service() *catalog.Service {
	return &catalog.Service{Name: "s", Scaling: &catalog.Scaling{Min: 1, Max: 6, Prices: map[string]float64{"a": 1, "b": 0.8}}}
}

func TestEnginesOnDemandStayUntilReclaimableOnesServe(t *testing.T) {
	engines := map[string]scaling.Engines{"a": {OnDemand: 3}, "b": {OnDemand: 3}}
	orders := scaling.Plan(scaling.DefaultPolicy(), service(), engines, nil, &scaling.Demand{})
	require.Equal(t, []scaling.Order{
		{Service: "s", DataCentre: "b", Reclaimable: true, Count: 6},
		{Service: "s", DataCentre: "a", Reclaimable: true, Count: 6},
	}, orders)
}

// The bound covers both classes: three on demand leave room for three reclaimable ones,
// which must be enough for the others to go.
func TestEnginesOnDemandGoOnceTheRoomBesideThemIsFilled(t *testing.T) {
	engines := map[string]scaling.Engines{"a": {OnDemand: 3, Reclaimable: 3}, "b": {OnDemand: 3, Reclaimable: 3}}
	orders := scaling.Plan(scaling.DefaultPolicy(), service(), engines, nil, &scaling.Demand{})
	require.Contains(t, orders, scaling.Order{Service: "s", DataCentre: "a"})
	require.Contains(t, orders, scaling.Order{Service: "s", DataCentre: "b"})
}

func TestServiceOfFixedSizeIsNotOrdered(t *testing.T) {
	require.Empty(t, scaling.Plan(scaling.DefaultPolicy(), &catalog.Service{Name: "s"}, nil, nil, &scaling.Demand{}))
}

func TestDemandRisesFastAndFallsSlowly(t *testing.T) {
	var demand scaling.Demand
	now := time.Unix(1000, 0)
	demand.Observe(0, now)
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		demand.Observe(10, now)
	}
	require.Greater(t, demand.Peak(), 8.0)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		demand.Observe(0, now)
	}
	require.Greater(t, demand.Peak(), 6.0)
}

// Reclaimable engines that a data centre lacks after a reclaim are ordered in the others.
func TestOtherDataCentresMakeUpForOneWithoutReclaimableEngines(t *testing.T) {
	large := service()
	large.Scaling.Max = 30
	engines := map[string]scaling.Engines{"b": {Reclaimable: 6}}
	orders := scaling.Plan(scaling.DefaultPolicy(), large, engines, map[string]bool{"a": true}, &scaling.Demand{})
	require.Equal(t, []scaling.Order{
		{Service: "s", DataCentre: "b", Reclaimable: true, Count: 12},
		{Service: "s", DataCentre: "a", Reclaimable: true, Count: 6},
	}, orders)
}

// With too few reclaimable engines to be had, those on demand stand in, the cheapest first.
func TestEnginesOnDemandStandInWhereNoReclaimableOnesAreToBeHad(t *testing.T) {
	dry := map[string]bool{"a": true, "b": true}
	orders := scaling.Plan(scaling.DefaultPolicy(), service(), nil, dry, &scaling.Demand{})
	require.Contains(t, orders, scaling.Order{Service: "s", DataCentre: "b", Count: 6})
	require.NotContains(t, orders, scaling.Order{Service: "s", DataCentre: "a", Count: 6})
	engines := map[string]scaling.Engines{"a": {Reclaimable: 6}, "b": {OnDemand: 6}}
	orders = scaling.Plan(scaling.DefaultPolicy(), service(), engines, map[string]bool{"b": true}, &scaling.Demand{})
	require.Contains(t, orders, scaling.Order{Service: "s", DataCentre: "b", Count: 0}, "they go as others serve")
}
