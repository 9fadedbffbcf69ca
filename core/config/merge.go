package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// MaxHistory is the number of revisions that an accepted configuration keeps for three-way merges.
const MaxHistory = 64

// Change is a change to one setting; a nil Old or New means that the setting is absent. An empty Key stands for a section without keys.
type Change struct {
	File    string
	Section string
	Key     string
	Old     *string
	New     *string
}

// Revision records the changes of one accepted publish.
type Revision struct {
	Number  uint64
	Changes []Change
}

// Accepted is the stored configuration, which all operators share, with its recent history.
type Accepted struct {
	Revision    uint64
	OperationID string
	Files       []File
	History     []Revision
}

// Conflict is a setting that two operators changed differently, with the accepted value and that of the operator who publishes.
type Conflict struct {
	Section string
	Key     string
	Theirs  string
	Mine    string
}

// ConflictError reports the settings that the operator's files and a revision after Base changed differently.
type ConflictError struct {
	Base      uint64
	Accepted  uint64
	Conflicts []Conflict
}

// Error lists the conflicting settings, one on each line.
func (e *ConflictError) Error() string {
	lines := make([]string, len(e.Conflicts))
	for i, c := range e.Conflicts {
		lines[i] = fmt.Sprintf("[%s] %s: accepted %q, yours %q", c.Section, c.Key, c.Theirs, c.Mine)
	}
	return fmt.Sprintf("revision %d was accepted after your base revision %d and changed the same keys:\n%s", e.Accepted, e.Base, strings.Join(lines, "\n"))
}

// Publish merges the operator's files, based on revision base, into the accepted configuration and returns the next revision.
//
// It returns a *ConflictError when a revision after base changed the same settings differently. It also fails
// when base is newer than the accepted revision or older than its history, and when the merged files are invalid.
func Publish(accepted Accepted, base uint64, mine []File, operationID string) (Accepted, error) {
	if base > accepted.Revision {
		return accepted, errors.Newf("base revision %d is newer than the accepted revision %d", base, accepted.Revision)
	}
	baseFiles, err := accepted.filesAt(base)
	if err != nil {
		return accepted, err
	}
	changes, err := Diff(baseFiles, mine)
	if err != nil {
		return accepted, err
	}
	if conflicts := accepted.conflicts(base, changes); len(conflicts) > 0 {
		return accepted, &ConflictError{Base: base, Accepted: accepted.Revision, Conflicts: conflicts}
	}
	files := sortedFiles(mine)
	if base != accepted.Revision {
		if files, err = applyChanges(accepted.Files, changes); err != nil {
			return accepted, err
		}
	}
	if _, problems := Parse(files, accepted.Revision+1); len(problems) > 0 {
		return accepted, JoinProblems(problems)
	}
	return accepted.nextRevision(files, changes, operationID), nil
}

func (a Accepted) nextRevision(files []File, changes []Change, operationID string) Accepted {
	history := append(slices.Clone(a.History), Revision{Number: a.Revision + 1, Changes: changes})
	if len(changes) > maxHistoryChanges {
		history = nil // too large to keep for merges; publishes based on earlier revisions are refused
	}
	if len(history) > MaxHistory {
		history = history[len(history)-MaxHistory:]
	}
	return Accepted{Revision: a.Revision + 1, OperationID: operationID, Files: files, History: history}
}

// filesAt returns the files as of revision base by reverting the revisions after it.
func (a Accepted) filesAt(base uint64) ([]File, error) {
	files := a.Files
	for i := len(a.History) - 1; i >= 0 && a.History[i].Number > base; i-- {
		reverted := make([]Change, 0, len(a.History[i].Changes))
		for _, c := range a.History[i].Changes {
			c.Old, c.New = c.New, c.Old
			reverted = append(reverted, c)
		}
		var err error
		if files, err = applyChanges(files, reverted); err != nil {
			return nil, err
		}
	}
	oldest := a.Revision - uint64(len(a.History))
	if base < oldest {
		return nil, errors.Newf("base revision %d is older than the stored history, which starts at %d: fetch the accepted files and apply again", base, oldest)
	}
	return files, nil
}

// conflicts returns the settings that a revision after base changed in another file or to another value than mine.
func (a Accepted) conflicts(base uint64, mine []Change) []Conflict {
	changedSince := make(map[sectionKey]Change)
	for _, r := range a.History {
		if r.Number <= base {
			continue
		}
		for _, c := range r.Changes {
			changedSince[sectionKey{c.Section, c.Key}] = c
		}
	}
	var conflicts []Conflict
	for _, m := range mine {
		theirs, found := changedSince[sectionKey{m.Section, m.Key}]
		if found && (theirs.File != m.File || valueOrAbsent(theirs.New) != valueOrAbsent(m.New) || (theirs.New == nil) != (m.New == nil)) {
			conflicts = append(conflicts, Conflict{m.Section, m.Key, valueOrAbsent(theirs.New), valueOrAbsent(m.New)})
		}
	}
	return conflicts
}

func valueOrAbsent(value *string) string {
	if value == nil {
		return "(absent)"
	}
	return *value
}

// Diff returns the settings that differ between two sets of files, sorted by file, section and key.
func Diff(before, after []File) ([]Change, error) {
	type fileKey struct{ file, section, key string }
	valuesByKey := func(files []File) (map[fileKey]string, error) {
		all := make(map[fileKey]string)
		for _, f := range files {
			settings, problems := parseFile(f)
			if len(problems) > 0 {
				return nil, JoinProblems(problems)
			}
			for _, s := range settings {
				all[fileKey{s.File, s.Section, s.Key}] = s.Value
			}
		}
		return all, nil
	}
	oldValues, err := valuesByKey(before)
	if err != nil {
		return nil, err
	}
	newValues, err := valuesByKey(after)
	if err != nil {
		return nil, err
	}
	var changes []Change
	for k, value := range newValues {
		if previous, existed := oldValues[k]; !existed {
			changes = append(changes, Change{k.file, k.section, k.key, nil, &value})
		} else if previous != value {
			changes = append(changes, Change{k.file, k.section, k.key, &previous, &value})
		}
	}
	for k, value := range oldValues {
		if _, kept := newValues[k]; !kept {
			changes = append(changes, Change{k.file, k.section, k.key, &value, nil})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return strings.Compare(a.File+"\x00"+a.Section+"\x00"+a.Key, b.File+"\x00"+b.Section+"\x00"+b.Key)
	})
	return changes, nil
}

// applyChanges applies changes to the texts of files, keeps their comments and drops files that become empty.
func applyChanges(files []File, changes []Change) ([]File, error) {
	textByName := make(map[string]string)
	for _, f := range files {
		textByName[f.Name] = f.Text
	}
	changesByFile := make(map[string][]Change)
	for _, c := range changes {
		changesByFile[c.File] = append(changesByFile[c.File], c)
	}
	for name, edits := range changesByFile {
		text, err := editFile(textByName[name], edits)
		if err != nil {
			return nil, errors.Wrapf(err, "edit %s", name)
		}
		textByName[name] = text
	}
	var result []File
	for name, text := range textByName {
		if strings.TrimSpace(text) != "" {
			result = append(result, File{Name: name, Text: text})
		}
	}
	return sortedFiles(result), nil
}

func editFile(text string, edits []Change) (string, error) {
	options := ini.LoadOptions{KeyValueDelimiters: "=", IgnoreInlineComment: true}
	parsed, err := ini.LoadSources(options, []byte(text))
	if err != nil {
		return "", err
	}
	for _, e := range edits {
		s, err := parsed.NewSection(e.Section)
		if err != nil {
			return "", err
		}
		switch {
		case e.Key == "":
			if e.New == nil {
				parsed.DeleteSection(e.Section)
			}
		case e.New == nil:
			s.DeleteKey(e.Key)
			if len(s.Keys()) == 0 {
				parsed.DeleteSection(e.Section)
			}
		default:
			s.Key(e.Key).SetValue(*e.New)
		}
	}
	var b strings.Builder
	if _, err := parsed.WriteTo(&b); err != nil {
		return "", err
	}
	return b.String(), nil
}

func sortedFiles(files []File) []File {
	sorted := slices.Clone(files)
	slices.SortFunc(sorted, func(a, b File) int { return strings.Compare(a.Name, b.Name) })
	return sorted
}
