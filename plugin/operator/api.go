package operator

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/apex/log"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/edit"
	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/operator"
	"github.com/mangomast/mangomast/store"
)

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

// requireOperator is middleware that authenticates the bearer token. The API
// does not accept cookies, so that a page of another site cannot call it in an
// operator's name (CSRF).
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

func operatorID(c echo.Context) string {
	id, _ := c.Get(operatorContextKey).(string)
	return id
}

// answer writes the result as JSON. If err is not nil, it writes an
// operator.Problem with the corresponding status code.
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
	case errors.Is(err, edit.ErrUnchanged):
		status, problem.Unchanged = http.StatusConflict, true
	case errors.Is(err, store.ErrUnavailable):
		status, problem.Message = http.StatusServiceUnavailable, "the store is unavailable; nothing was changed: "+err.Error()
	case errors.Is(err, store.ErrOutcomeUnknown):
		status = http.StatusGatewayTimeout
	}
	return c.JSON(status, problem)
}

// storeContext returns the context of the request, limited to storeTimeout.
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
	return m.answer(c, operator.DocumentResponse{Revision: current.Revision, Document: current.Document}, nil)
}

func (m *Module) serveChange(c echo.Context) error {
	var request operator.ChangeRequest
	if err := c.Bind(&request); err != nil {
		return m.answer(c, nil, errors.New("the change is not valid JSON"))
	}
	ctx, cancel := storeContext(c)
	defer cancel()
	proposal := edit.Proposal{ID: request.ID, Author: operatorID(c), Note: request.Note, Edits: request.Edits}
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
	return m.answer(c, operator.MergeResponse{Edits: edits}, err)
}

func (m *Module) serveUndo(c echo.Context) error {
	var request operator.UndoRequest
	if err := c.Bind(&request); err != nil {
		return m.answer(c, nil, errors.New("the request is not valid JSON"))
	}
	ctx, cancel := storeContext(c)
	defer cancel()
	change, err := m.service.Editor.Undo(ctx, request.Number, edit.Proposal{ID: request.ID, Author: operatorID(c)})
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
	answer, err := m.service.GrantKey(ctx, operatorID(c), request)
	if err == nil {
		m.logChange(&answer.Change, nil)
	}
	return m.answer(c, answer, err)
}

func (m *Module) serveWithdrawKey(c echo.Context) error {
	ctx, cancel := storeContext(c)
	defer cancel()
	change, err := m.service.WithdrawKey(ctx, operatorID(c), c.Param("id"), c.QueryParam(operator.ParamChangeID))
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
