package kernel

import (
	"reflect"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangomast/mangomast/settings"
)

// Context is passed to each module's Provision.
type Context struct {
	Node *settings.Node
	// Incarnation identifies this run of the node; later runs have higher ones.
	Incarnation uint64
	Clock       clockwork.Clock
	// LeaseClock is the SuspendAware clock of the node, for times at which
	// permissions end. All modules share it, so its times can be compared.
	LeaseClock clockwork.Clock
	Log        log.Interface
	Registry   *prometheus.Registry

	services map[reflect.Type]any
}

// DrainTime returns how long the modules may drain in a planned stop.
func (c *Context) DrainTime() time.Duration {
	return time.Duration(drainGraceFraction * float64(c.Node.Grace))
}

// Provide registers a service under the interface or pointer type T, for
// modules that are provisioned later.
func Provide[T any](ctx *Context, service T) {
	ctx.services[reflect.TypeFor[T]()] = service
}

// Lookup returns the service of type T and whether a module provides it.
func Lookup[T any](ctx *Context) (T, bool) {
	service, ok := ctx.services[reflect.TypeFor[T]()].(T)
	return service, ok
}

// Require returns the service of type T or an error that names the type.
func Require[T any](ctx *Context) (T, error) {
	service, ok := Lookup[T](ctx)
	if !ok {
		return service, errors.Errorf("no module provides %s", reflect.TypeFor[T]())
	}
	return service, nil
}

// Resolve looks up services by type. Each target is a pointer to a variable,
// which is set to the service of the variable's type. The error names the first
// type that no module provides.
func Resolve(ctx *Context, targets ...any) error {
	for _, target := range targets {
		variable := reflect.ValueOf(target).Elem()
		service, ok := ctx.services[variable.Type()]
		if !ok {
			return errors.Errorf("no module provides %s", variable.Type())
		}
		variable.Set(reflect.ValueOf(service))
	}
	return nil
}
