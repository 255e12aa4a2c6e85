// Package operator serves the operators' API on the admin listener and
// provides *Service to the console.
package operator

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/edit"
	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/operator"
	"github.com/mangomast/mangomast/plugin/admin"
	configplugin "github.com/mangomast/mangomast/plugin/config"
	membershipplugin "github.com/mangomast/mangomast/plugin/membership"
	quarantineplugin "github.com/mangomast/mangomast/plugin/quarantine"
	storeplugin "github.com/mangomast/mangomast/plugin/store"
	"github.com/mangomast/mangomast/store"
)

// ID is the module's ID.
const ID kernel.ID = "operator"

// storeTimeout bounds the store calls of one operator's request.
const storeTimeout = 10 * time.Second

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    ID,
		Needs: []kernel.ID{admin.ID, configplugin.ID, membershipplugin.ID, storeplugin.ID, quarantineplugin.ID},
		New:   func() kernel.Module { return &Module{} },
	})
}

// Module serves the API.
type Module struct {
	// Operators may sign in besides those of the configuration document. The
	// first operator stands here.
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
	own := &finding.List{}
	(&config.Document{Operators: m.Operators}).Validate(own)
	for _, f := range own.Findings() {
		findings.Addf(prefix+f.Field, "%s", f.Message)
	}
}

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	e, err := kernel.Require[*echo.Echo](ctx)
	if err != nil {
		return err
	}
	service := &Service{static: m.Operators, log: ctx.Log}
	if err = kernel.Resolve(ctx, &service.config, &service.stream, &service.fleet, &service.quarantine); err != nil {
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

// Service is what the API and the console share. It is safe for concurrent use.
type Service struct {
	Editor *edit.Editor
	static []config.Operator
	config config.Source
	stream config.Progress
	fleet  membership.Directory
	// quarantine knows the requests that crash upstreams.
	quarantine *quarantineplugin.Module
	log        log.Interface
}

// Authenticate returns the operator whose token has the hash.
func (s *Service) Authenticate(hash string) (config.Operator, bool) {
	if o, ok := operator.Authenticate(s.static, hash); ok {
		return o, true
	}
	if snapshot := s.config.Snapshot(); snapshot != nil {
		return operator.Authenticate(snapshot.Document.Operators, hash)
	}
	return config.Operator{}, false
}

// Progress says how far a revision has come into force. It blocks until the
// relays have listed the fleet or the context ends.
func (s *Service) Progress(ctx context.Context, revision int64) (operator.Progress, error) {
	_, progress, err := s.Overview(ctx, revision)
	return progress, err
}

func (s *Service) progressOf(members []membership.Entry, revision int64) operator.Progress {
	p := operator.Progress{Revision: revision, Accepted: s.config.Accepted() >= revision}
	for _, entry := range members {
		if entry.State == membership.Gone {
			continue
		}
		p.Total++
		if entry.ConfigRevision >= revision {
			p.InForce++
			continue
		}
		p.Waiting = append(p.Waiting, entry.VM)
	}
	p.Accepted = p.Accepted && len(p.Waiting) == 0
	return p
}

// Overview returns every VM of the fleet, and how far a revision has come into
// force on them.
func (s *Service) Overview(ctx context.Context, revision int64) ([]membership.Entry, operator.Progress, error) {
	members, err := s.fleet.Members(ctx)
	if err != nil {
		return nil, operator.Progress{}, errors.Wrap(err, "list the fleet's VMs")
	}
	p := s.progressOf(members, revision)
	if p.Accepted {
		return members, p, nil
	}
	if reasons, err := s.stream.WaitsFor(ctx, revision); err == nil {
		p.Waiting = append(p.Waiting, reasons...)
	}
	return members, p, nil
}

// GrantKey makes a key and returns it with the change that added its hash.
func (s *Service) GrantKey(ctx context.Context, author string, r operator.KeyRequest) (*operator.KeyAnswer, error) {
	secret := config.NewKey()
	added, err := edit.NewElement("keys", r.ID, config.Key{
		ID: r.ID, Organisation: r.Organisation, Hash: config.HashKey(secret), Note: r.Note,
	})
	if err != nil {
		return nil, err
	}
	change, err := s.Editor.Commit(ctx, edit.Proposal{Author: author, Note: "grant key " + r.ID, Edits: []edit.Edit{added}})
	if err != nil {
		return nil, err
	}
	return &operator.KeyAnswer{Key: secret, Change: *change}, nil
}

// WithdrawKey removes a key.
func (s *Service) WithdrawKey(ctx context.Context, author, id string) (*edit.Change, error) {
	current, err := s.Editor.Read(ctx)
	if err != nil {
		return nil, err
	}
	field := "/keys/" + id
	old, err := edit.Value(current.Document, field)
	if err != nil {
		return nil, err
	}
	if old == nil {
		return nil, errors.Errorf("there is no key %q; 'mangomast show' lists the keys", id)
	}
	removal := edit.Edit{Field: field, Old: old}
	return s.Editor.Commit(ctx, edit.Proposal{Author: author, Note: "withdraw key " + id, Edits: []edit.Edit{removal}})
}

const operatorContextKey = "operator"

func (m *Module) register(e *echo.Echo) {
	api := e.Group("", m.requireOperator)
	api.GET(operator.PathDocument, m.serveDocument)
	api.POST(operator.PathChanges, m.serveChange)
	api.GET(operator.PathHistory, m.serveHistory)
	api.POST(operator.PathMerge, m.serveMerge)
	api.POST(operator.PathUndo, m.serveUndo)
	api.POST(operator.PathKeys, m.serveGrantKey)
	api.DELETE(operator.PathKeys+"/:id", m.serveWithdrawKey)
	api.GET(operator.PathProgress, m.serveProgress)
	m.registerQuarantine(api)
}

// requireOperator checks the token. The API takes no cookies, so that another
// site's page cannot use it.
func (m *Module) requireOperator(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token := strings.TrimPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		found, ok := m.service.Authenticate(operator.HashToken(token))
		if !ok {
			return c.JSON(http.StatusUnauthorized, operator.Problem{Message: "an operator's token is needed; give it with --token or MANGOMAST_TOKEN"})
		}
		c.Set(operatorContextKey, found.ID)
		return next(c)
	}
}

func author(c echo.Context) string {
	id, _ := c.Get(operatorContextKey).(string)
	return id
}

// answer writes a result or the problem that an error stands for.
func (m *Module) answer(c echo.Context, result any, err error) error {
	if err == nil {
		return c.JSON(http.StatusOK, result)
	}
	problem := operator.Problem{Message: err.Error()}
	status := http.StatusBadRequest
	var conflict *edit.ConflictError
	var invalid *finding.Error
	switch {
	case errors.As(err, &conflict):
		status, problem.Conflicts = http.StatusConflict, conflict.Conflicts
	case errors.As(err, &invalid):
		status, problem.Findings = http.StatusUnprocessableEntity, invalid.Findings
	case errors.Is(err, store.ErrUnavailable):
		status, problem.Message = http.StatusServiceUnavailable, "the store is unavailable; nothing was changed: "+err.Error()
	case errors.Is(err, store.ErrOutcomeUnknown):
		status = http.StatusGatewayTimeout
	}
	return c.JSON(status, problem)
}

func storeContext(c echo.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.Request().Context(), storeTimeout)
}

func (m *Module) serveDocument(c echo.Context) error {
	ctx, cancel := storeContext(c)
	defer cancel()
	current, err := m.service.Editor.Read(ctx)
	if err != nil {
		return m.answer(c, nil, err)
	}
	return m.answer(c, operator.DocumentAnswer{Revision: current.Revision, Document: current.Document}, nil)
}

func (m *Module) serveChange(c echo.Context) error {
	var request operator.ChangeRequest
	if err := c.Bind(&request); err != nil {
		return m.answer(c, nil, errors.New("the change is not valid JSON"))
	}
	ctx, cancel := storeContext(c)
	defer cancel()
	proposal := edit.Proposal{ID: request.ID, Author: author(c), Note: request.Note, Edits: request.Edits}
	change, err := m.service.Editor.Commit(ctx, proposal)
	m.logChange(change, err)
	return m.answer(c, change, err)
}

func (m *Module) logChange(change *edit.Change, err error) {
	if err != nil {
		return
	}
	m.log.WithFields(log.Fields{
		"author": change.Author, "change": change.Number, "revision": change.Revision,
	}).Info("configuration was changed")
}

func (m *Module) serveHistory(c echo.Context) error {
	ctx, cancel := storeContext(c)
	defer cancel()
	changes, err := m.service.Editor.History(ctx)
	if changes == nil {
		changes = []*edit.Change{}
	}
	return m.answer(c, changes, err)
}

func (m *Module) serveMerge(c echo.Context) error {
	var request operator.MergeRequest
	if err := c.Bind(&request); err != nil || request.Document == nil {
		return m.answer(c, nil, errors.New("the document is not valid JSON"))
	}
	ctx, cancel := storeContext(c)
	defer cancel()
	edits, err := m.service.Editor.Merge(ctx, request.Document)
	return m.answer(c, operator.MergeAnswer{Edits: edits}, err)
}

func (m *Module) serveUndo(c echo.Context) error {
	var request operator.UndoRequest
	if err := c.Bind(&request); err != nil {
		return m.answer(c, nil, errors.New("the request is not valid JSON"))
	}
	ctx, cancel := storeContext(c)
	defer cancel()
	change, err := m.service.Editor.Undo(ctx, request.Number, author(c))
	m.logChange(change, err)
	return m.answer(c, change, err)
}

func (m *Module) serveGrantKey(c echo.Context) error {
	var request operator.KeyRequest
	if err := c.Bind(&request); err != nil {
		return m.answer(c, nil, errors.New("the request is not valid JSON"))
	}
	ctx, cancel := storeContext(c)
	defer cancel()
	answer, err := m.service.GrantKey(ctx, author(c), request)
	return m.answer(c, answer, err)
}

func (m *Module) serveWithdrawKey(c echo.Context) error {
	ctx, cancel := storeContext(c)
	defer cancel()
	change, err := m.service.WithdrawKey(ctx, author(c), c.Param("id"))
	m.logChange(change, err)
	return m.answer(c, change, err)
}

func (m *Module) serveProgress(c echo.Context) error {
	revision, err := strconv.ParseInt(c.QueryParam("revision"), 10, 64)
	if err != nil {
		return m.answer(c, nil, errors.New("revision must be a number"))
	}
	progress, err := m.service.Progress(c.Request().Context(), revision)
	slices.Sort(progress.Waiting)
	return m.answer(c, progress, err)
}
