// Package kernel holds the registries through which plug-ins make policies available by name.
package kernel
