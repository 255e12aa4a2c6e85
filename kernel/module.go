// Package kernel is the core of a node. It has the registry of modules, their
// lifecycle based on oklog/run, bounded queues between goroutines, and timers.
//
// A module registers itself in init under an ID. The kernel creates the
// registered modules in the order of their dependencies, decodes the settings
// of each one, and calls the lifecycle interfaces that it implements: Validate,
// Provision, Start, then each Actor on its own goroutine, and Leave and Drain
// when the node shuts down.
package kernel

import (
	"context"
	"sort"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/finding"
)

// ID identifies a module and its section of the settings.
type ID string

// ModuleInfo describes a registered module.
type ModuleInfo struct {
	ID ID
	// Needs lists modules that must be registered and are provisioned first.
	Needs []ID
	// After lists modules that are provisioned first if they are registered.
	After []ID
	// New returns the module with its default settings.
	New func() Module
}

// Module is a component of a node. Its exported fields with JSON tags are its
// settings.
type Module interface {
	// Provision resolves the module's dependencies and provides its own
	// services through the context. It must not block.
	Provision(*Context) error
}

// Validator is implemented by modules that validate their settings. Validate is
// called before Provision. The prefix is the JSON pointer of the module's
// settings.
type Validator interface {
	Validate(prefix string, findings *finding.List)
}

// Starter is implemented by modules that open listeners or connections. Start
// is called after all modules are provisioned and must return promptly.
type Starter interface {
	Start(context.Context) error
}

// Actor is a background task of a module. Run is called on its own goroutine
// and returns when its context ends.
type Actor struct {
	Name string
	Run  func(context.Context) error
}

// ActorSource is implemented by modules that have background tasks.
type ActorSource interface {
	Actors() []Actor
}

// Leaver is implemented by modules that announce a planned stop to others.
// Leave is called on all modules, in the order of provisioning, before the
// first Drain. It must not block.
type Leaver interface {
	Leave()
}

// Drainer is implemented by modules that finish work before the node stops.
// Drain is called in the reverse order of provisioning while all actors are
// still running. It returns when the module has no work left or the context
// ends.
type Drainer interface {
	Drain(context.Context) error
}

var registry = map[ID]ModuleInfo{}

// Register adds a module to the registry. It must be called from init, and
// panics if the ID is already registered.
func Register(info ModuleInfo) {
	if _, taken := registry[info.ID]; taken {
		panic("kernel: module registered twice: " + string(info.ID))
	}
	registry[info.ID] = info
}

// Registered returns the registered modules in the order of provisioning.
func Registered() ([]ModuleInfo, error) {
	ids := make([]string, 0, len(registry))
	for id := range registry {
		ids = append(ids, string(id))
	}
	sort.Strings(ids)
	sorter := topologicalSort{state: map[ID]visitState{}}
	for _, id := range ids {
		if err := sorter.visit(ID(id)); err != nil {
			return nil, err
		}
	}
	return sorter.sorted, nil
}

type visitState int

const (
	visiting visitState = iota + 1
	visited
)

// topologicalSort orders modules so that each follows its dependencies.
type topologicalSort struct {
	state  map[ID]visitState
	sorted []ModuleInfo
}

func (s *topologicalSort) visit(id ID) error {
	switch s.state[id] {
	case visited:
		return nil
	case visiting:
		return errors.Errorf("module %s is part of a dependency cycle", id)
	}
	info := registry[id]
	s.state[id] = visiting
	for _, need := range info.Needs {
		if _, ok := registry[need]; !ok {
			return errors.Errorf("module %s needs module %s, which is not part of this binary", id, need)
		}
		if err := s.visit(need); err != nil {
			return err
		}
	}
	for _, dependency := range info.After {
		if _, ok := registry[dependency]; !ok {
			continue
		}
		if err := s.visit(dependency); err != nil {
			return err
		}
	}
	s.state[id] = visited
	s.sorted = append(s.sorted, info)
	return nil
}
