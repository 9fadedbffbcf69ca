package kernel

import (
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Registry maps names to plug-ins of one kind; its zero value is ready to use.
type Registry[T any] struct {
	plugins map[string]T
}

// Register adds a plug-in; a duplicate name is a programming error and panics.
func (r *Registry[T]) Register(name string, plugin T) {
	if _, taken := r.plugins[name]; taken {
		panic("kernel: plug-in " + name + " is registered twice")
	}
	if r.plugins == nil {
		r.plugins = make(map[string]T)
	}
	r.plugins[name] = plugin
}

// Lookup returns the plug-in with the given name, or an error that lists the registered names.
func (r *Registry[T]) Lookup(name string) (T, error) {
	plugin, found := r.plugins[name]
	if !found {
		return plugin, errors.Newf("unknown plug-in %q: want one of %s", name, strings.Join(r.Names(), ", "))
	}
	return plugin, nil
}

// Names returns the registered names in alphabetical order.
func (r *Registry[T]) Names() []string {
	return slices.Sorted(maps.Keys(r.plugins))
}
