// Package console serves the operators' screens on the admin listener of every
// node: server-side HTML forms, usable with the keyboard, without scripts.
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

// storeTimeout bounds the store calls of one request.
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

// Module serves the screens.
type Module struct {
	service  *operatorplugin.Service
	config   config.Source
	sessions *sessions
	clock    clockwork.Clock
}

var _ kernel.Module = (*Module)(nil)

// renderer implements echo.Renderer over html/template.
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
	m.register(e)
	return nil
}

func (m *Module) register(e *echo.Echo) {
	e.GET("/login", m.showLogin)
	e.POST("/login", m.login)
	pages := e.Group("", m.sessions.require)
	pages.POST("/logout", m.logout)
	pages.GET("/", m.showOverview)
	pages.GET("/part/:collection", m.showCollection)
	pages.GET("/part/:collection/new", m.showNew)
	pages.GET("/part/:collection/edit/:id", m.showEdit)
	pages.POST("/part/:collection/preview", m.preview)
	pages.POST("/part/:collection/remove", m.previewRemoval)
	pages.POST("/changes", m.commit)
	pages.GET("/progress", m.showProgress)
	pages.GET("/history", m.showHistory)
	pages.POST("/undo", m.undo)
	pages.GET("/quarantine", m.showQuarantine)
	pages.POST("/quarantine/lift", m.liftQuarantine)
	pages.POST("/keys", m.grantKey)
}

// page is what every template gets.
type page struct {
	Title    string
	Operator string
	CSRF     string
	// Refresh is the time in seconds after which the page loads again; 0 for
	// never.
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
	return c.Render(status, name, page{
		Title: title, Operator: s.operator, CSRF: s.csrf, Refresh: refresh,
		Collections: collections, Content: content,
	})
}

// problem is the content of the page that says what went wrong.
type problem struct {
	Message   string
	Findings  []finding.Finding
	Conflicts []edit.Conflict
}

// refuse shows an error with what to do next.
func (m *Module) refuse(c echo.Context, err error) error {
	content := problem{Message: err.Error()}
	status, title := http.StatusBadRequest, "Nothing was changed"
	var conflict *edit.ConflictError
	var invalid *finding.Error
	switch {
	case errors.As(err, &conflict):
		status, title = http.StatusConflict, "Another operator changed the same field"
		content = problem{Message: "Nothing was changed. Open the form again to start from the values of now.", Conflicts: conflict.Conflicts}
	case errors.As(err, &invalid):
		status = http.StatusUnprocessableEntity
		content = problem{Message: "The change is not valid.", Findings: invalid.Findings}
	case errors.Is(err, store.ErrOutcomeUnknown):
		status, title = http.StatusGatewayTimeout, "It is not known whether the change was made"
	case errors.Is(err, store.ErrUnavailable):
		status = http.StatusServiceUnavailable
		content.Message = "The store does not answer, so no change can be accepted now. Traffic goes on. Try again in a minute."
	}
	return m.render(c, status, "problem.html", title, content)
}

func storeContext(c echo.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.Request().Context(), storeTimeout)
}

func (m *Module) read(c echo.Context) (*edit.Current, error) {
	ctx, cancel := storeContext(c)
	defer cancel()
	return m.service.Editor.Read(ctx)
}
