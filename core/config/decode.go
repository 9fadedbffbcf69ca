package config

import (
	"slices"
	"strings"
)

// decoder builds a configuration from settings and collects the problems it finds.
type decoder struct {
	config   *Config
	problems []Problem
	keyFiles map[sectionKey]string // file that sets each key; an empty key stands for the whole section
}

// section holds the settings under one header, such as [Pool p] with kind Pool and name p.
type section struct {
	kind     string
	name     string
	header   string
	settings []Setting
}

func (d *decoder) fail(s Setting, reason string) {
	d.problems = append(d.problems, Problem{s.File, s.Section, s.Key, reason})
}

func (d *decoder) failAt(header, key, reason string) {
	file, known := d.keyFiles[sectionKey{header, key}]
	if !known {
		file = d.keyFiles[sectionKey{header, ""}]
	}
	d.problems = append(d.problems, Problem{file, header, key, reason})
}

func groupSections(settings []Setting) []section {
	var sections []section
	indexByHeader := make(map[string]int)
	for _, s := range settings {
		i, seen := indexByHeader[s.Section]
		if !seen {
			kind, name, _ := strings.Cut(s.Section, " ")
			i = len(sections)
			indexByHeader[s.Section] = i
			sections = append(sections, section{kind: kind, name: strings.TrimSpace(name), header: s.Section})
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
			d.keyFiles[sectionKey{s.header, ""}] = s.settings[0].File
		}
		for _, setting := range s.settings {
			d.keyFiles[sectionKey{s.header, setting.Key}] = setting.File
		}
		switch s.kind {
		case "Deployment":
			decodeSingleton(d, s, deploymentFields, &c.Deployment)
		case "Policies":
			decodeSingleton(d, s, policyFields, &c.Policies)
		case "Planner":
			decodeSingleton(d, s, plannerFields, &c.Planner)
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
			d.failAt(s.header, "", "unknown section: want Deployment, Policies, Planner, Zone, Service, Pool, Instance, Team or Leave")
		}
	}
	slices.SortFunc(c.Instances, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Pools, func(a, b Pool) int { return strings.Compare(a.Name, b.Name) })
}

// missingSingletons returns an empty section for each kind without names that no file has, so that its defaults apply.
func missingSingletons(sections []section) []section {
	var missing []section
	for _, kind := range []string{"Deployment", "Policies", "Planner"} {
		if !slices.ContainsFunc(sections, func(s section) bool { return s.header == kind }) {
			missing = append(missing, section{kind: kind, header: kind})
		}
	}
	return missing
}

func decodeSingleton[T any](d *decoder, s section, fields []field[T], dst *T) {
	if s.name != "" {
		d.failAt(s.header, "", "section "+s.kind+" takes no name")
		return
	}
	decodeFields(d, s, fields, dst)
}

func decodeNamed[T any](d *decoder, s section, fields []field[T], value T, decoded []T) []T {
	if !validName(s.name) {
		d.failAt(s.header, "", "section needs a name of letters, digits, '-', '_' and '.', such as ["+s.kind+" first]")
		return decoded
	}
	decodeFields(d, s, fields, &value)
	return append(decoded, value)
}

func decodeFields[T any](d *decoder, s section, fields []field[T], dst *T) {
	given := make(map[string]bool)
	for _, setting := range s.settings {
		if setting.Key == "" {
			continue
		}
		i := slices.IndexFunc(fields, func(f field[T]) bool { return f.info.Key == setting.Key })
		if i < 0 {
			d.fail(setting, "unknown key: want one of "+strings.Join(keyNames(fields), ", "))
			continue
		}
		given[setting.Key] = true
		if err := fields[i].set(dst, setting.Value); err != nil {
			d.fail(setting, err.Error())
		}
	}
	for _, f := range fields {
		switch {
		case given[f.info.Key] || f.info.Default == "(none)":
		case f.info.Default == required:
			d.failAt(s.header, f.info.Key, "required key is missing")
		default:
			if err := f.set(dst, f.info.Default); err != nil {
				panic("config: default of " + f.info.Key + " is invalid: " + err.Error())
			}
		}
	}
}

func keyNames[T any](fields []field[T]) []string {
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
