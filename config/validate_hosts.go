package config

import (
	"fmt"
	"maps"
	"slices"

	"github.com/persimmonline/persimmonline/api"
)

// hostGroups checks the host groups and data centres that the planner maintains.
func (v *validator) hostGroups(c *api.Configuration) {
	for i, name := range c.DataCentres {
		v.name(fmt.Sprintf("data_centres.%d", i), name)
	}
	for _, name := range slices.Sorted(maps.Keys(c.HostGroups)) {
		v.hostGroup(c, name, c.HostGroups[name])
	}
}

func (v *validator) hostGroup(c *api.Configuration, name string, group api.HostGroup) {
	field := "host_groups." + name
	v.name(field, name)
	switch api.HostRole(group.Role) {
	case api.HostRoleEngine:
		v.check(group.Service == "", field+".service", "must be empty for engines")
	case api.HostRoleService:
		v.check(c.Services[group.Service].Kind == api.ServiceKindPlain, field+".service",
			fmt.Sprintf("%q is not a plain service", group.Service))
	default:
		v.check(false, field+".role", "must be engine or service")
	}
	v.check(group.Hosts >= 0, field+".hosts", "must not be negative")
	v.check(group.OnDemand >= 0, field+".on_demand", "must not be negative")
	v.check(group.ModelsPerHost >= 0, field+".models_per_host", "must not be negative")
	v.check(len(group.MachineClasses) > 0, field+".machine_classes", "must not be empty")
	for i, class := range group.MachineClasses {
		_, exists := c.MachineClasses[class]
		v.check(exists, fmt.Sprintf("%s.machine_classes.%d", field, i), fmt.Sprintf("machine class %q does not exist", class))
	}
	v.check(len(c.DataCentres) > 0, "data_centres", "must not be empty while there are host groups")
}
