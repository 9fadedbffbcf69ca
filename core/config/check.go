package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// validate checks the relations between sections.
func (d *decoder) validate() {
	d.validateServices()
	d.validatePools()
	d.validateInstances()
	d.validateLeaves()
}

func (d *decoder) validateServices() {
	served := make(map[string]string)
	for _, p := range d.config.Pools {
		if p.Service == "" {
			continue
		}
		title := "Pool " + p.Name
		if other, taken := served[p.Service]; taken {
			d.failAt(title, "Service", fmt.Sprintf("service %s is already served by pool %s", p.Service, other))
		}
		served[p.Service] = p.Name
		if _, known := d.config.FindService(p.Service); !known {
			d.failAt(title, "Service", "no section [Service "+p.Service+"]")
		}
	}
	for _, s := range d.config.Services {
		if served[s.Name] == "" {
			d.failAt("Service "+s.Name, "", "no pool serves this service")
		}
	}
}

func (d *decoder) validatePools() {
	sizes := d.config.PoolSizes()
	for _, p := range d.config.Pools {
		title := "Pool " + p.Name
		if !p.Spare && p.Service == "" {
			d.failAt(title, "Service", "pool serves no service and is no spare pool")
		}
		if p.Spare && p.Service != "" {
			d.failAt(title, "Service", "a spare pool serves no service")
		}
		if size := sizes[p.Name]; !p.Spare && p.Budget.Limit(size) >= size && size > 0 {
			d.failAt(title, "Budget", fmt.Sprintf("a budget of %d can never be exceeded by %d instances", p.Budget.Limit(size), size))
		}
		if !p.Spare && sizes[p.Name] == 0 {
			d.failAt(title, "", "pool has no instance, so its budget can never be met")
		}
	}
}

// PoolSizes returns the configured number of instances of each pool.
func (c *Config) PoolSizes() map[string]int {
	sizes := make(map[string]int)
	for _, i := range c.Instances {
		sizes[i.Pool]++
	}
	return sizes
}

func (d *decoder) validateInstances() {
	addresses := make(map[netip.AddrPort]string)
	for _, i := range d.config.Instances {
		title := "Instance " + i.Name
		if other, taken := addresses[i.Address]; taken && i.Address.IsValid() {
			d.failAt(title, "Address", "instance "+other+" has the same address")
		}
		addresses[i.Address] = i.Name
		if _, known := d.config.FindPool(i.Pool); !known && i.Pool != "" {
			d.failAt(title, "Pool", instancePoolReason(i.Pool))
		}
		known := slices.ContainsFunc(d.config.Zones, func(z Zone) bool { return z.Name == i.Zone })
		if !known && i.Zone != "" {
			d.failAt(title, "Zone", "no section [Zone "+i.Zone+"]")
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
	racks := make(map[string]bool)
	for _, i := range d.config.Instances {
		racks[i.Zone+"/"+i.Rack] = true
	}
	for _, l := range d.config.Leaves {
		title := "Leave " + l.Name
		if len(l.Instances)+len(l.Racks) == 0 {
			d.failAt(title, "Instances", "names neither instances nor racks")
		}
		for _, name := range l.Instances {
			if _, known := d.config.FindInstance(name); !known {
				d.failAt(title, "Instances", "no section [Instance "+name+"]")
			}
		}
		for _, rack := range l.Racks {
			if !racks[rack] {
				d.failAt(title, "Racks", "no instance stands in rack "+rack+": want zone/rack")
			}
		}
	}
}

// Leaving returns the Leave section that covers each instance.
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
