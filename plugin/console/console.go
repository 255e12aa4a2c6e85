// Package console serves the operators' web console on the admin listener of
// every node. Its pages are server-side HTML forms that work with the keyboard
// and without scripts.
package console

import (
	"context"
	"embed"
	"html/template"
	"io"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/edit"
	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/kernel"
	configplugin "github.com/mangomast/mangomast/plugin/config"
	operatorplugin "github.com/mangomast/mangomast/plugin/operator"
	"github.com/mangomast/mangomast/store"
)

// ID is the module's ID.
const ID kernel.ID = "console"

// pathChanges is the path that commits a previewed change.
const pathChanges = "/changes"

// contentSecurityPolicy allows a page only inline styles and forms to the same
// origin.
const contentSecurityPolicy = "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'"

// storeTimeout limits the time of the store calls of one request.
const storeTimeout = 10 * time.Second

func init() {
	kernel.Register(kernel.ModuleInfo{
		ID:    ID,
		Needs: []kernel.ID{operatorplugin.ID, configplugin.ID},
		New:   func() kernel.Module { return &Module{} },
	})
}

//go:embed templates/*.html
var templateFiles embed.FS

// Module serves the console.
type Module struct {
	service  *operatorplugin.Service
	config   config.Source
	sessions *sessions
	clock    clockwork.Clock
}

var _ kernel.Module = (*Module)(nil)

// renderer implements echo.Renderer with html/template.
type renderer struct {
	templates *template.Template
}

// Render implements echo.Renderer.
func (r *renderer) Render(w io.Writer, name string, data any, _ echo.Context) error {
	return r.templates.ExecuteTemplate(w, name, data)
}

// Provision implements kernel.Module.
func (m *Module) Provision(ctx *kernel.Context) error {
	e, err := kernel.Require[*echo.Echo](ctx)
	if err != nil {
		return err
	}
	if err = kernel.Resolve(ctx, &m.service, &m.config); err != nil {
		return err
	}
	templates, err := template.ParseFS(templateFiles, "templates/*.html")
	if err != nil {
		return errors.Wrap(err, "parse console templates")
	}
	e.Renderer = &renderer{templates: templates}
	m.clock = ctx.Clock
	m.sessions = newSessions(ctx.Node.FleetSecret, ctx.Clock, m.service)
	m.sessions.promptLogin, m.sessions.showSavedForm = m.promptLogin, m.showSavedForm
	m.register(e)
	return nil
}

func (m *Module) register(e *echo.Echo) {
	e.GET("/login", m.showLogin)
	e.POST("/login", m.login)
	pages := e.Group("", m.sessions.requireSession)
	pages.POST("/logout", m.logout)
	pages.GET("/", m.showOverview)
	pages.GET("/part/:collection", m.showCollection)
	pages.GET("/part/keys/new", m.showGrant)
	pages.GET("/part/:collection/new", m.showNew)
	pages.GET("/part/:collection/edit/:id", m.showEdit)
	pages.POST("/part/:collection/preview", m.preview)
	pages.POST("/part/:collection/remove", m.previewRemoval)
	pages.POST(pathChanges, m.commit)
	pages.GET("/progress", m.showProgress)
	pages.GET("/history", m.showHistory)
	pages.POST("/undo", m.undo)
	pages.GET("/quarantine", m.showQuarantine)
	pages.POST("/quarantine/lift", m.liftQuarantine)
	pages.POST("/keys", m.grantKey)
}

// page is the data of every template.
type page struct {
	Title    string
	Operator string
	CSRF     string
	// Part is the collection that the page belongs to, if any.
	Part string
	// Refresh is the reload interval of the page in seconds; 0 disables it.
	Refresh     int
	Collections []collectionSpec
	Content     any
}

func (m *Module) render(c echo.Context, status int, name, title string, content any) error {
	return m.renderRefreshing(c, status, name, title, content, 0)
}

func (m *Module) renderRefreshing(c echo.Context, status int, name, title string, content any, refresh int) error {
	s := sessionOf(c)
	c.Response().Header().Set("Cache-Control", "no-store")
	c.Response().Header().Set("X-Frame-Options", "DENY")
	c.Response().Header().Set("Content-Security-Policy", contentSecurityPolicy)
	return c.Render(status, name, page{
		Title: title, Operator: s.operator, CSRF: s.csrf, Refresh: refresh, Part: c.Param("collection"),
		Collections: collections, Content: content,
	})
}

// problem is the template content of an error page.
type problem struct {
	Message   string
	Findings  []finding.Finding
	Conflicts []edit.Conflict
}

// errorPage is the status, title and content of a page that reports an error.
type errorPage struct {
	status int
	title  string
	problem
}

const (
	messageUnavailable = "The store does not answer, so no change can be accepted now. Nothing was changed and traffic goes on. Try again in a minute."
	messageUnknown     = "The store did not answer in time. The change may or may not have been made: press the button again, which makes it at most once, or look at the history."
)

// describeError returns the page for an error, which tells the operator what
// happened and what to do next.
func describeError(err error) errorPage {
	errPage := errorPage{status: http.StatusBadRequest, title: "Nothing was changed", problem: problem{Message: err.Error()}}
	var conflict *edit.ConflictError
	var invalid *finding.Error
	switch {
	case errors.As(err, &conflict):
		errPage.status, errPage.title = http.StatusConflict, "Another operator changed the same field"
		errPage.problem = problem{Message: "Nothing was changed. Open the form again to start from the values of now.", Conflicts: conflict.Conflicts}
	case errors.As(err, &invalid):
		errPage.status = http.StatusUnprocessableEntity
		errPage.problem = problem{Message: "The change is not valid.", Findings: invalid.Findings}
	case errors.Is(err, edit.ErrUnchanged):
		errPage.status, errPage.Message = http.StatusOK, "The configuration is like this already, so there was nothing to change."
	case errors.Is(err, store.ErrOutcomeUnknown):
		errPage.status, errPage.title, errPage.Message = http.StatusGatewayTimeout, "It is not known whether the change was made", messageUnknown
	case errors.Is(err, store.ErrUnavailable):
		errPage.status, errPage.Message = http.StatusServiceUnavailable, messageUnavailable
	}
	return errPage
}

// renderError renders the error page for err.
func (m *Module) renderError(c echo.Context, err error) error {
	errPage := describeError(err)
	return m.render(c, errPage.status, "problem.html", errPage.title, errPage.problem)
}

func storeContext(c echo.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.Request().Context(), storeTimeout)
}

func (m *Module) readDocument(c echo.Context) (*edit.StoredDocument, error) {
	ctx, cancel := storeContext(c)
	defer cancel()
	return m.service.Editor.Read(ctx)
}
