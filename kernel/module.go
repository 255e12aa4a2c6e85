// Package kernel is the small core of a node: a registry of modules, their
// lifecycle over oklog/run, bounded rings between goroutines and the clock.
//
// A module registers itself in init under an ID. The kernel creates the
// registered modules in the order of their dependencies, decodes each one's
// part of the settings, and calls the lifecycle interfaces that it implements:
// Provision, Validate, Start, then one goroutine for each Actor, and Leave and
// Drain when the node is told to stop.
package kernel

import (
	"context"
	"sort"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/finding"
)

// ID names a module, and its part of the settings.
type ID string

// ModuleInfo describes a registered module.
type ModuleInfo struct {
	ID ID
	// Needs lists the modules that must be present and be provisioned first.
	Needs []ID
	// After lists modules that are provisioned first if they are present.
	After []ID
	// New returns the module with its default settings.
	New func() Module
}

// Module is any type that takes part in a node. Its exported fields with JSON
// tags are its settings.
type Module interface {
	// Provision resolves the module's dependencies and offers its own
	// services through the context. It must not block.
	Provision(*Context) error
}

// Validator is implemented by modules that check their settings. It is called
// before Provision. The prefix is the JSON pointer of the module's settings.
type Validator interface {
	Validate(prefix string, findings *finding.List)
}

// Starter is implemented by modules that open listeners or connections. Start
// is called once all modules are provisioned and must return soon.
type Starter interface {
	Start(context.Context) error
}

// Actor is one duty of a module, run on a goroutine of its own until its
// context ends.
type Actor struct {
	Name string
	Run  func(context.Context) error
}

// ActorSource is implemented by modules that have duties to run.
type ActorSource interface {
	Actors() []Actor
}

// Leaver is implemented by modules that tell others of a planned stop. Leave
// is called on every module, in the order of provisioning, before the first
// Drain; it must not block.
type Leaver interface {
	Leave()
}

// Drainer is implemented by modules that finish work before the node stops.
// Drain is called in the order of provisioning reversed, while all actors
// still run; it returns when the module holds no more work or the context ends.
type Drainer interface {
	Drain(context.Context) error
}

var registry = map[ID]ModuleInfo{}

// Register adds a module to the registry. It is called from init and panics
// if the ID is taken.
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
	order := ordering{state: map[ID]visitState{}}
	for _, id := range ids {
		if err := order.visit(ID(id)); err != nil {
			return nil, err
		}
	}
	return order.sorted, nil
}

type visitState int

const (
	visiting visitState = iota + 1
	visited
)

// ordering sorts modules so that each follows what it depends on.
type ordering struct {
	state  map[ID]visitState
	sorted []ModuleInfo
}

func (o *ordering) visit(id ID) error {
	switch o.state[id] {
	case visited:
		return nil
	case visiting:
		return errors.Errorf("module %s depends on itself", id)
	}
	info := registry[id]
	o.state[id] = visiting
	for _, need := range info.Needs {
		if _, ok := registry[need]; !ok {
			return errors.Errorf("module %s needs module %s, which is not part of this binary", id, need)
		}
		if err := o.visit(need); err != nil {
			return err
		}
	}
	for _, before := range info.After {
		if _, ok := registry[before]; !ok {
			continue
		}
		if err := o.visit(before); err != nil {
			return err
		}
	}
	o.state[id] = visited
	o.sorted = append(o.sorted, info)
	return nil
}
