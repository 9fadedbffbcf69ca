package trial

import (
	"embed"
	"io/fs"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"daisysaddle/core/config"
)

//go:embed examples
var examples embed.FS

// Examples returns the names of the embedded example deployments.
func Examples() []string {
	entries, err := fs.ReadDir(examples, "examples")
	if err != nil {
		panic("trial: read embedded examples: " + err.Error())
	}
	names := make([]string, len(entries))
	for i, e := range entries {
		names[i] = e.Name()
	}
	return names
}

// Example returns the configuration files of an embedded example deployment; an unknown name is an error.
func Example(name string) ([]config.File, error) {
	if !slices.Contains(Examples(), name) {
		return nil, errors.Newf("unknown example %q: want one of %s", name, strings.Join(Examples(), ", "))
	}
	dir := "examples/" + name
	entries, err := fs.ReadDir(examples, dir)
	if err != nil {
		return nil, errors.Wrap(err, "list example")
	}
	var files []config.File
	for _, e := range entries {
		text, err := fs.ReadFile(examples, dir+"/"+e.Name())
		if err != nil {
			return nil, errors.Wrap(err, "read example")
		}
		files = append(files, config.File{Name: e.Name(), Text: string(text)})
	}
	return files, nil
}

// addressOverrides returns a configuration file that replaces the addresses of the named instances.
func addressOverrides(addresses map[string]string) config.File {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(addresses)) {
		b.WriteString("[Instance " + name + "]\nAddress = " + addresses[name] + "\n\n")
	}
	return config.File{Name: "40-loopback.ini", Text: b.String()}
}
