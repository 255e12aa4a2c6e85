// Package operator serves the operators' API on the admin listener and
// provides *Service to the console.
package operator

import (
	"time"

	"github.com/apex/log"
	"github.com/labstack/echo/v4"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/edit"
	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/plugin/admin"
	configplugin "github.com/mangomast/mangomast/plugin/config"
	membershipplugin "github.com/mangomast/mangomast/plugin/membership"
	quarantineplugin "github.com/mangomast/mangomast/plugin/quarantine"
	storeplugin "github.com/mangomast/mangomast/plugin/store"
	"github.com/mangomast/mangomast/store"
)

// ID is the module's ID.
const ID kernel.ID = "operator"

// storeTimeout limits the time of the store calls of one API request.
const storeTimeout = 10 * time.Second

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    ID,
		Needs: []kernel.ID{admin.ID, configplugin.ID, membershipplugin.ID, storeplugin.ID, quarantineplugin.ID},
		New:   func() kernel.Module { return &Module{} },
	})
}

// Module serves the operators' API.
type Module struct {
	// Operators are accepted in addition to those of the configuration document.
	// The first operator must be listed here.
	Operators []config.Operator `json:"operators"`

	service *Service
	log     log.Interface
}

var (
	_ kernel.Module    = (*Module)(nil)
	_ kernel.Validator = (*Module)(nil)
)

// Validate implements kernel.Validator.
func (m *Module) Validate(prefix string, findings *finding.List) {
	operatorFindings := &finding.List{}
	(&config.Document{Operators: m.Operators}).Validate(operatorFindings)
	for _, f := range operatorFindings.Findings() {
		findings.Addf(prefix+f.Field, "%s", f.Message)
	}
}

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	e, err := kernel.Require[*echo.Echo](ctx)
	if err != nil {
		return err
	}
	service := &Service{staticOperators: m.Operators, log: ctx.Log}
	if err = kernel.Resolve(ctx, &service.config, &service.streamProgress, &service.fleet, &service.quarantine); err != nil {
		return err
	}
	backend, err := kernel.Require[store.Store](ctx)
	if err != nil {
		return err
	}
	service.Editor = edit.NewEditor(backend, ctx.Node.Store.Prefix, ctx.Clock)
	m.service, m.log = service, ctx.Log
	kernel.Provide(ctx, service)
	m.register(e)
	return nil
}
