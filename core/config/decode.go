package config

import (
	"slices"
	"strings"
)

type decoder struct {
	config   *Config
	problems []Problem
	places   map[place]string // file of each key; the empty key stands for its section
}

type section struct {
	kind     string
	name     string
	title    string
	settings []Setting
}

func (d *decoder) fail(s Setting, reason string) {
	d.problems = append(d.problems, Problem{s.File, s.Section, s.Key, reason})
}

func (d *decoder) failAt(title, key, reason string) {
	file, known := d.places[place{title, key}]
	if !known {
		file = d.places[place{title, ""}]
	}
	d.problems = append(d.problems, Problem{file, title, key, reason})
}

func groupSections(settings []Setting) []section {
	var sections []section
	at := make(map[string]int)
	for _, s := range settings {
		i, seen := at[s.Section]
		if !seen {
			kind, name, _ := strings.Cut(s.Section, " ")
			i = len(sections)
			at[s.Section] = i
			sections = append(sections, section{kind: kind, name: strings.TrimSpace(name), title: s.Section})
		}
		sections[i].settings = append(sections[i].settings, s)
	}
	return sections
}

func (d *decoder) decode(settings []Setting) {
	c := d.config
	sections := groupSections(settings)
	sections = append(sections, missingSingletons(sections)...)
	for _, s := range sections {
		if len(s.settings) > 0 {
			d.places[place{s.title, ""}] = s.settings[0].File
		}
		for _, setting := range s.settings {
			d.places[place{s.title, setting.Key}] = setting.File
		}
		switch s.kind {
		case "Deployment":
			decodeOne(d, s, deploymentFields, &c.Deployment)
		case "Policies":
			decodeOne(d, s, policyFields, &c.Policies)
		case "Planner":
			decodeOne(d, s, plannerFields, &c.Planner)
		case "Zone":
			c.Zones = decodeNamed(d, s, zoneFields, Zone{Name: s.name}, c.Zones)
		case "Service":
			c.Services = decodeNamed(d, s, serviceFields, Service{Name: s.name}, c.Services)
		case "Pool":
			c.Pools = decodeNamed(d, s, poolFields, Pool{Name: s.name}, c.Pools)
		case "Instance":
			c.Instances = decodeNamed(d, s, instanceFields, Instance{Name: s.name}, c.Instances)
		case "Team":
			c.Teams = decodeNamed(d, s, teamFields, Team{Name: s.name}, c.Teams)
		case "Leave":
			c.Leaves = decodeNamed(d, s, leaveFields, Leave{Name: s.name}, c.Leaves)
		default:
			d.failAt(s.title, "", "unknown section: want Deployment, Policies, Planner, Zone, Service, Pool, Instance, Team or Leave")
		}
	}
	slices.SortFunc(c.Instances, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Pools, func(a, b Pool) int { return strings.Compare(a.Name, b.Name) })
}

func missingSingletons(sections []section) []section {
	var missing []section
	for _, kind := range []string{"Deployment", "Policies", "Planner"} {
		if !slices.ContainsFunc(sections, func(s section) bool { return s.title == kind }) {
			missing = append(missing, section{kind: kind, title: kind})
		}
	}
	return missing
}

func decodeOne[T any](d *decoder, s section, fields []field[T], into *T) {
	if s.name != "" {
		d.failAt(s.title, "", "section "+s.kind+" takes no name")
		return
	}
	decodeFields(d, s, fields, into)
}

func decodeNamed[T any](d *decoder, s section, fields []field[T], value T, all []T) []T {
	if !validName(s.name) {
		d.failAt(s.title, "", "section needs a name of letters, digits, '-', '_' and '.', such as ["+s.kind+" first]")
		return all
	}
	decodeFields(d, s, fields, &value)
	return append(all, value)
}

func decodeFields[T any](d *decoder, s section, fields []field[T], into *T) {
	given := make(map[string]bool)
	for _, setting := range s.settings {
		if setting.Key == "" {
			continue
		}
		i := slices.IndexFunc(fields, func(f field[T]) bool { return f.info.Key == setting.Key })
		if i < 0 {
			d.fail(setting, "unknown key: want one of "+strings.Join(fieldNames(fields), ", "))
			continue
		}
		given[setting.Key] = true
		if err := fields[i].set(into, setting.Value); err != nil {
			d.fail(setting, err.Error())
		}
	}
	for _, f := range fields {
		switch {
		case given[f.info.Key] || f.info.Default == "(none)":
		case f.info.Default == required:
			d.failAt(s.title, f.info.Key, "required key is missing")
		default:
			if err := f.set(into, f.info.Default); err != nil {
				panic("config: default of " + f.info.Key + " is invalid: " + err.Error())
			}
		}
	}
}

func fieldNames[T any](fields []field[T]) []string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.info.Key
	}
	return names
}

func validName(name string) bool {
	if name == "" || len(name) > 64 {
		return false
	}
	for _, r := range name {
		isLetter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		isDigit := r >= '0' && r <= '9'
		if !isLetter && !isDigit && !strings.ContainsRune("-_.", r) {
			return false
		}
	}
	return true
}
