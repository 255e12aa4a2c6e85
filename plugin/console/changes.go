package console

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/edit"
	"github.com/mangomast/mangomast/operator"
	"github.com/mangomast/mangomast/store"
)

const (
	// progressRefresh is the reload interval of the progress page in seconds.
	progressRefresh = 1
	// maxWaitingNames limits the names that a page lists as waiting for a
	// revision.
	maxWaitingNames = 20
	// historyPage is the number of changes that the history page lists at first,
	// and that each link to older changes adds.
	historyPage = 50
)

// previewContent is the content of the page that shows a change before it is
// committed.
type previewContent struct {
	Edits []edit.Edit
	// Encoded is the edits as JSON, which the page submits with the commit.
	Encoded string
	Note    string
	// ID identifies the change, so that submitting the form again does not make
	// the change twice.
	ID string
	// Problem is the reason why an earlier submission was not accepted.
	Problem string
}

func newPreview(edits []edit.Edit, note string) previewContent {
	return previewContent{Edits: edits, Note: note, ID: uuid.NewString()}
}

// parsePreview parses a submitted preview page.
func parsePreview(c echo.Context) (previewContent, error) {
	content := previewContent{Note: c.FormValue("note"), ID: c.FormValue("id")}
	if err := json.Unmarshal([]byte(c.FormValue("edits")), &content.Edits); err != nil {
		return content, errors.New("the form is not valid; go back and try again")
	}
	return content, nil
}

func (m *Module) showPreview(c echo.Context, status int, content previewContent) error {
	encoded, err := json.Marshal(content.Edits)
	if err != nil {
		return m.renderError(c, err)
	}
	content.Encoded = string(encoded)
	return m.render(c, status, "preview.html", "Check the change", content)
}

// commit commits a previewed change. If the store is unavailable or the outcome
// is unknown, it renders the preview again, so that the operator can submit the
// same change again.
func (m *Module) commit(c echo.Context) error {
	content, err := parsePreview(c)
	if err != nil {
		return m.renderError(c, err)
	}
	ctx, cancel := storeContext(c)
	defer cancel()
	change, err := m.service.Editor.Commit(ctx, edit.Proposal{
		ID: content.ID, Author: sessionOf(c).operator, Note: content.Note, Edits: content.Edits,
	})
	var conflict *edit.ConflictError
	switch {
	case err == nil:
		return c.Redirect(http.StatusSeeOther, "/progress?revision="+strconv.FormatInt(change.Revision, 10))
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrOutcomeUnknown):
		errPage := describeError(err)
		content.Problem = errPage.Message
		return m.showPreview(c, errPage.status, content)
	case errors.As(err, &conflict):
		if f, ok := formFromPreview(content); ok {
			return m.renderFormError(c, f, err)
		}
	}
	return m.renderError(c, err)
}

// formFromPreview reconstructs the form that a change was entered in. It
// returns false for a change of several elements and for a removal.
func formFromPreview(content previewContent) (form, bool) {
	if len(content.Edits) == 0 {
		return form{}, false
	}
	parts := strings.Split(content.Edits[0].Field, "/")
	spec, ok := findCollection(parts[1])
	if !ok {
		return form{}, false
	}
	f := form{Collection: spec, ID: parts[2], Note: content.Note}
	for _, field := range spec.Fields {
		f.Inputs = append(f.Inputs, input{fieldSpec: field, ReadOnly: field.Name == "id"})
	}
	for _, e := range content.Edits {
		if !f.applyEdit(e) {
			return form{}, false
		}
	}
	return f, true
}

// applyEdit sets the form's inputs to the new values of an edit. It returns
// false if the edit is not one that this form can produce.
func (f *form) applyEdit(e edit.Edit) bool {
	if e.Field == f.field("")[:len(f.field(""))-1] {
		var fields rawFields
		if len(e.Old) > 0 || json.Unmarshal(e.New, &fields) != nil {
			return false
		}
		f.New = true
		for i := range f.Inputs {
			in := &f.Inputs[i]
			in.Value, in.ReadOnly = in.decode(fields[in.Name]), false
		}
		return true
	}
	for i := range f.Inputs {
		if in := &f.Inputs[i]; e.Field == f.field(in.Name) {
			in.Value = in.decode(e.New)
			return true
		}
	}
	return false
}

// progressContent is the content of the page that shows on how many VMs a
// revision is in force.
type progressContent struct {
	operator.Progress
	// More is the number of VMs in Waiting that the page omits; 0 or negative
	// if it lists all.
	More int
	// Problem is the reason why the progress is unknown.
	Problem string
}

func (m *Module) showProgress(c echo.Context) error {
	revision, err := strconv.ParseInt(c.QueryParam("revision"), 10, 64)
	if err != nil {
		return m.renderError(c, errors.New("the revision must be a number"))
	}
	ctx, cancel := storeContext(c)
	defer cancel()
	progress, err := m.service.Progress(ctx, revision)
	content := progressContent{Progress: progress}
	if err != nil {
		content = progressContent{Progress: operator.Progress{Revision: revision}, Problem: err.Error()}
	}
	if content.More = len(content.Waiting) - maxWaitingNames; content.More > 0 {
		content.Waiting = content.Waiting[:maxWaitingNames]
	}
	title, refresh := "Coming into force", progressRefresh
	if content.Accepted {
		title, refresh = "In force", 0
	}
	return m.renderRefreshing(c, http.StatusOK, "progress.html", title, content, refresh)
}

// historyContent is the content of the history page.
type historyContent struct {
	Changes []*edit.Change
	// More is the number of changes that the link to older changes requests; 0
	// if there are no older changes.
	More int
}

func (m *Module) showHistory(c echo.Context) error {
	ctx, cancel := storeContext(c)
	defer cancel()
	changes, err := m.service.Editor.History(ctx)
	if err != nil {
		return m.renderError(c, err)
	}
	limit, err := strconv.Atoi(c.QueryParam("last"))
	if err != nil || limit < 1 {
		limit = historyPage
	}
	content := historyContent{Changes: changes}
	if len(changes) > limit {
		content.Changes, content.More = changes[:limit], limit+historyPage
	}
	return m.render(c, http.StatusOK, "history.html", "History", content)
}

// undo renders the preview of a change that reverts a past one.
func (m *Module) undo(c echo.Context) error {
	number, err := strconv.ParseUint(c.FormValue("number"), 10, 64)
	if err != nil {
		return m.renderError(c, errors.New("the change's number is not valid"))
	}
	ctx, cancel := storeContext(c)
	defer cancel()
	edits, err := m.service.Editor.Inverse(ctx, number)
	if err != nil {
		return m.renderError(c, err)
	}
	content := newPreview(edits, "undo of change "+strconv.FormatUint(number, 10))
	err = m.service.Editor.Preview(ctx, edits)
	var conflict *edit.ConflictError
	if errors.As(err, &conflict) {
		conflictPage := problem{Message: "Nothing was changed: these fields were changed again since.", Conflicts: conflict.Conflicts}
		return m.render(c, http.StatusConflict, "problem.html", "Changed again since", conflictPage)
	}
	if err != nil {
		return m.renderError(c, err)
	}
	return m.showPreview(c, http.StatusOK, content)
}

// grantContent is the content of the page that grants a key.
type grantContent struct {
	Request       operator.KeyRequest
	Organisations []string
	Problems      []string
}

func (m *Module) showGrant(c echo.Context) error {
	return m.renderGrant(c, http.StatusOK, "Grant a key", grantContent{})
}

func (m *Module) renderGrant(c echo.Context, status int, title string, content grantContent) error {
	if snapshot := m.config.Snapshot(); snapshot != nil {
		for _, org := range snapshot.Document.Organisations {
			content.Organisations = append(content.Organisations, org.ID)
		}
	}
	return m.render(c, status, "grant.html", title, content)
}

func (m *Module) grantKey(c echo.Context) error {
	ctx, cancel := storeContext(c)
	defer cancel()
	request := operator.KeyRequest{ID: c.FormValue("id"), Organisation: c.FormValue("organisation"), Note: c.FormValue("note")}
	response, err := m.service.GrantKey(ctx, sessionOf(c).operator, request)
	if err == nil {
		return m.render(c, http.StatusOK, "key.html", "New key", response)
	}
	errPage := describeError(err)
	content := grantContent{Request: request}
	for _, f := range errPage.Findings {
		content.Problems = append(content.Problems, f.String())
	}
	for _, conflict := range errPage.Conflicts {
		content.Problems = append(content.Problems, conflict.String())
	}
	switch {
	case len(errPage.Conflicts) > 0:
		errPage.title = "Choose another name"
	case errors.Is(err, store.ErrOutcomeUnknown):
		content.Problems = append(content.Problems, "The store did not answer in time. If Keys lists the key, withdraw it and grant another, as its secret was not shown.")
	case len(content.Problems) == 0:
		content.Problems = append(content.Problems, errPage.Message)
	}
	return m.renderGrant(c, errPage.status, errPage.title, content)
}
