package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// File is one configuration file.
type File struct {
	Name string
	Text string
}

// Setting is one key with its value and its file; Key is empty for a section without keys.
type Setting struct {
	File    string
	Section string
	Key     string
	Value   string
}

// sectionKey identifies a key of a section in whichever file sets it.
type sectionKey struct{ section, key string }

// Problem is one error in the configuration, with its location.
type Problem struct {
	File    string
	Section string
	Key     string
	Reason  string
}

// Error formats the problem on one line.
func (p Problem) Error() string {
	location := p.File
	if p.Section != "" {
		location += fmt.Sprintf(" [%s]", p.Section)
	}
	if p.Key != "" {
		location += " " + p.Key
	}
	return fmt.Sprintf("%s: %s", location, p.Reason)
}

var loadOptions = ini.LoadOptions{
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	KeyValueDelimiters:         "=",
	IgnoreInlineComment:        true,
}

// parseFile returns the settings of one file in the order of the text.
func parseFile(f File) ([]Setting, []Problem) {
	parsed, err := ini.LoadSources(loadOptions, []byte(f.Text))
	if err != nil {
		return nil, []Problem{{File: f.Name, Reason: err.Error()}}
	}
	var settings []Setting
	var problems []Problem
	for _, section := range parsed.Sections() {
		for _, key := range section.Keys() {
			values := key.ValueWithShadows()
			if section.Name() == ini.DefaultSection {
				problems = append(problems, Problem{f.Name, "", key.Name(), "key precedes the first section"})
				continue
			}
			if len(values) > 1 {
				problems = append(problems, Problem{f.Name, section.Name(), key.Name(), "key is given twice in one file"})
			}
			settings = append(settings, Setting{f.Name, section.Name(), key.Name(), strings.TrimSpace(key.Value())})
		}
		if len(section.Keys()) == 0 && section.Name() != ini.DefaultSection {
			settings = append(settings, Setting{File: f.Name, Section: section.Name()})
		}
	}
	return settings, problems
}

// Merge merges files in the order of their names; a later file overrides the settings of earlier ones.
func Merge(files []File) ([]Setting, []Problem) {
	ordered := slices.Clone(files)
	slices.SortFunc(ordered, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	indexByKey := make(map[sectionKey]int)
	var merged []Setting
	var problems []Problem
	for _, f := range ordered {
		settings, found := parseFile(f)
		problems = append(problems, found...)
		for _, s := range settings {
			if i, seen := indexByKey[sectionKey{s.Section, s.Key}]; seen {
				merged[i] = s
				continue
			}
			indexByKey[sectionKey{s.Section, s.Key}] = len(merged)
			merged = append(merged, s)
		}
	}
	return merged, problems
}

// Parse merges and validates files and returns the configuration, or nil and all problems found.
func Parse(files []File, revision uint64) (*Config, []Problem) {
	settings, problems := Merge(files)
	d := decoder{config: &Config{Revision: revision}, problems: problems, keyFiles: make(map[sectionKey]string)}
	d.decode(settings)
	d.validate()
	if len(d.problems) > 0 {
		slices.SortStableFunc(d.problems, func(a, b Problem) int {
			return strings.Compare(a.File+a.Section+a.Key, b.File+b.Section+b.Key)
		})
		return nil, d.problems
	}
	return d.config, nil
}

// JoinProblems combines problems into one error with a line for each, or returns nil when there are none.
func JoinProblems(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = p.Error()
	}
	return errors.Newf("%d configuration problems:\n%s", len(problems), strings.Join(lines, "\n"))
}
