package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// validate checks the rules that span several keys or sections.
func (d *decoder) validate() {
	d.validateServices()
	d.validatePools()
	d.validateInstances()
	d.validateLeaves()
}

func (d *decoder) validateServices() {
	poolByService := make(map[string]string)
	for _, p := range d.config.Pools {
		if p.Service == "" {
			continue
		}
		header := "Pool " + p.Name
		if otherPool, taken := poolByService[p.Service]; taken {
			d.failAt(header, "Service", fmt.Sprintf("service %s is already served by pool %s", p.Service, otherPool))
		}
		poolByService[p.Service] = p.Name
		if _, known := d.config.FindService(p.Service); !known {
			d.failAt(header, "Service", "no section [Service "+p.Service+"]")
		}
	}
	for _, s := range d.config.Services {
		if poolByService[s.Name] == "" {
			d.failAt("Service "+s.Name, "", "no pool serves this service")
		}
	}
}

func (d *decoder) validatePools() {
	sizes := d.config.PoolSizes()
	for _, p := range d.config.Pools {
		header := "Pool " + p.Name
		if !p.Spare && p.Service == "" {
			d.failAt(header, "Service", "pool serves no service and is not a spare pool")
		}
		if p.Spare && p.Service != "" {
			d.failAt(header, "Service", "a spare pool cannot serve a service")
		}
		if size := sizes[p.Name]; !p.Spare && p.Budget.Limit(size) >= size && size > 0 {
			d.failAt(header, "Budget", fmt.Sprintf("a budget of %d can never be exceeded by %d instances", p.Budget.Limit(size), size))
		}
		if !p.Spare && sizes[p.Name] == 0 {
			d.failAt(header, "", "pool has no instance, so its budget can never be met")
		}
	}
}

// PoolSizes returns the configured number of instances by pool name.
func (c *Config) PoolSizes() map[string]int {
	sizes := make(map[string]int)
	for _, i := range c.Instances {
		sizes[i.Pool]++
	}
	return sizes
}

func (d *decoder) validateInstances() {
	instanceByAddress := make(map[netip.AddrPort]string)
	for _, i := range d.config.Instances {
		header := "Instance " + i.Name
		if otherInstance, taken := instanceByAddress[i.Address]; taken && i.Address.IsValid() {
			d.failAt(header, "Address", "instance "+otherInstance+" has the same address")
		}
		instanceByAddress[i.Address] = i.Name
		if _, known := d.config.FindPool(i.Pool); !known && i.Pool != "" {
			d.failAt(header, "Pool", instancePoolReason(i.Pool))
		}
		known := slices.ContainsFunc(d.config.Zones, func(z Zone) bool { return z.Name == i.Zone })
		if !known && i.Zone != "" {
			d.failAt(header, "Zone", "no section [Zone "+i.Zone+"]")
		}
	}
}

func instancePoolReason(pool string) string {
	if strings.Contains(pool, ",") {
		return "an instance belongs to exactly one pool"
	}
	return "no section [Pool " + pool + "]"
}

func (d *decoder) validateLeaves() {
	knownRacks := make(map[string]bool)
	for _, i := range d.config.Instances {
		knownRacks[i.Zone+"/"+i.Rack] = true
	}
	for _, l := range d.config.Leaves {
		header := "Leave " + l.Name
		if len(l.Instances)+len(l.Racks) == 0 {
			d.failAt(header, "Instances", "names neither instances nor racks")
		}
		for _, name := range l.Instances {
			if _, known := d.config.FindInstance(name); !known {
				d.failAt(header, "Instances", "no section [Instance "+name+"]")
			}
		}
		for _, rack := range l.Racks {
			if !knownRacks[rack] {
				d.failAt(header, "Racks", "no instance is in rack "+rack+": want zone/rack")
			}
		}
	}
}

// Leaving returns, by instance name, the Leave section that covers each instance that is due to leave.
func (c *Config) Leaving() map[string]Leave {
	leaving := make(map[string]Leave)
	for _, l := range c.Leaves {
		for _, name := range l.Instances {
			leaving[name] = l
		}
		for _, i := range c.Instances {
			if slices.Contains(l.Racks, i.Zone+"/"+i.Rack) {
				leaving[i.Name] = l
			}
		}
	}
	return leaving
}
