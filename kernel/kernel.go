package kernel

import (
	"context"
	"encoding/json"
	"reflect"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/jsonc"
	"github.com/mangomast/mangomast/settings"
)

// drainGraceFraction is the fraction of the grace period of a planned stop that
// modules may use for draining. After it they are stopped in any case, so that
// the process exits before it is killed.
const drainGraceFraction = 0.87

// Options configures New.
type Options struct {
	Node     *settings.Node
	Clock    clockwork.Clock
	Log      log.Interface
	Registry *prometheus.Registry
}

// Kernel runs the modules of one node.
type Kernel struct {
	context *Context
	modules []moduleInstance
}

type moduleInstance struct {
	id     ID
	module Module
}

// New creates, decodes and validates all registered modules, then provisions
// them. It returns all findings in the settings together as *finding.Error.
func New(opts Options) (*Kernel, error) {
	modules, err := loadModules(opts.Node)
	if err != nil {
		return nil, err
	}
	k := &Kernel{
		modules: modules,
		context: &Context{
			Node:        opts.Node,
			Incarnation: uint64(opts.Clock.Now().UnixNano()),
			Clock:       opts.Clock,
			LeaseClock:  SuspendAware(opts.Clock),
			Log:         opts.Log,
			Registry:    opts.Registry,
			services:    map[reflect.Type]any{},
		},
	}
	for _, m := range k.modules {
		if err := m.module.Provision(k.context); err != nil {
			return nil, errors.Wrapf(err, "provision module %s", m.id)
		}
	}
	return k, nil
}

// Check decodes and validates the modules' settings without provisioning the
// modules, and adds all errors to findings.
func Check(node *settings.Node, findings *finding.List) error {
	infos, err := Registered()
	if err != nil {
		return err
	}
	buildModules(node, infos, findings)
	return nil
}

func loadModules(node *settings.Node) ([]moduleInstance, error) {
	infos, err := Registered()
	if err != nil {
		return nil, err
	}
	findings := &finding.List{}
	modules := buildModules(node, infos, findings)
	return modules, findings.Err()
}

func buildModules(node *settings.Node, infos []ModuleInfo, findings *finding.List) []moduleInstance {
	known := make(map[string]bool, len(infos))
	modules := make([]moduleInstance, 0, len(infos))
	for _, info := range infos {
		known[string(info.ID)] = true
		module := info.New()
		prefix := "/modules/" + string(info.ID)
		decodeModule(node.Modules[string(info.ID)], module, prefix, findings)
		if v, ok := module.(Validator); ok {
			v.Validate(prefix, findings)
		}
		modules = append(modules, moduleInstance{id: info.ID, module: module})
	}
	for name := range node.Modules {
		if !known[name] {
			findings.Addf("/modules/"+name, "unknown module %q", name)
		}
	}
	return modules
}

func decodeModule(raw json.RawMessage, module Module, prefix string, findings *finding.List) {
	if raw == nil {
		return
	}
	moduleFindings := &finding.List{}
	jsonc.Decode(raw, module, moduleFindings)
	for _, f := range moduleFindings.Findings() {
		findings.Addf(prefix+f.Field, "%s", f.Message)
	}
}

// Run starts the modules and blocks until the context ends or an actor fails.
// When the context ends, the modules are drained in reverse order before the
// actors are stopped.
func (k *Kernel) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, m := range k.modules {
		s, ok := m.module.(Starter)
		if !ok {
			continue
		}
		if err := s.Start(background); err != nil {
			return errors.Wrapf(err, "start module %s", m.id)
		}
	}
	var group run.Group
	k.addDrainActor(ctx, &group)
	for _, m := range k.modules {
		if source, ok := m.module.(ActorSource); ok {
			addActors(&group, background, m.id, source.Actors())
		}
	}
	return group.Run()
}

// addDrainActor adds an actor that drains the modules when the context ends.
// Its return then makes the group stop the other actors.
func (k *Kernel) addDrainActor(ctx context.Context, group *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		<-ctx.Done()
		k.drain()
		return nil
	}, func(error) { cancel() })
}

func addActors(group *run.Group, parent context.Context, id ID, actors []Actor) {
	for _, actor := range actors {
		ctx, cancel := context.WithCancel(parent)
		group.Add(func() error {
			err := actor.Run(ctx)
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrapf(err, "%s: %s", id, actor.Name)
		}, func(error) { cancel() })
	}
}

// drain calls Leave on all modules in the order of provisioning, then Drain in
// the reverse order.
func (k *Kernel) drain() {
	ctx, cancel := context.WithTimeout(context.Background(), k.context.DrainTime())
	defer cancel()
	for _, m := range k.modules {
		if l, ok := m.module.(Leaver); ok {
			l.Leave()
		}
	}
	for i := len(k.modules) - 1; i >= 0; i-- {
		d, ok := k.modules[i].module.(Drainer)
		if !ok {
			continue
		}
		if err := d.Drain(ctx); err != nil {
			k.context.Log.WithError(err).WithField("module", k.modules[i].id).Warn("draining a module failed; stopping the node anyway")
		}
	}
}
