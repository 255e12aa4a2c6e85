package console

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/edit"
	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/operator"
)

// progressRefresh is how often the progress page loads again, in seconds.
const progressRefresh = 1

// overview is the content of the first page.
type overview struct {
	Revision int64
	Fresh    bool
	Progress operator.Progress
	Members  []membership.Entry
}

func (m *Module) showOverview(c echo.Context) error {
	content := overview{Fresh: m.config.Fresh()}
	if snapshot := m.config.Snapshot(); snapshot != nil {
		content.Revision = snapshot.Revision
	}
	var err error
	content.Members, content.Progress, err = m.service.Overview(c.Request().Context(), content.Revision)
	if err != nil {
		return m.refuse(c, err)
	}
	return m.render(c, http.StatusOK, "overview.html", "Overview", content)
}

// row is one element in a table.
type row struct {
	ID    string
	Cells []string
}

type collectionContent struct {
	Collection collectionSpec
	Rows       []row
	Keys       bool
}

func (m *Module) collection(c echo.Context) (collectionSpec, error) {
	spec, ok := findCollection(c.Param("collection"))
	if !ok {
		return spec, errors.New("the configuration has no such part")
	}
	return spec, nil
}

func (m *Module) showCollection(c echo.Context) error {
	spec, err := m.collection(c)
	if err != nil {
		return m.refuse(c, err)
	}
	current, err := m.read(c)
	if err != nil {
		return m.refuse(c, err)
	}
	reader := edit.NewReader(current.Document)
	content := collectionContent{Collection: spec, Keys: spec.Name == "keys"}
	for _, id := range reader.IDs(spec.Name) {
		opened, err := openForm(spec, id, reader)
		if err != nil {
			return m.refuse(c, err)
		}
		r := row{ID: id}
		for _, in := range opened.Inputs {
			r.Cells = append(r.Cells, in.Value)
		}
		content.Rows = append(content.Rows, r)
	}
	return m.render(c, http.StatusOK, "collection.html", spec.Title, content)
}

func (m *Module) showNew(c echo.Context) error {
	spec, err := m.collection(c)
	if err != nil {
		return m.refuse(c, err)
	}
	opened, err := openForm(spec, "", nil)
	if err != nil {
		return m.refuse(c, err)
	}
	return m.render(c, http.StatusOK, "form.html", "New in "+spec.Title, opened)
}

func (m *Module) showEdit(c echo.Context) error {
	spec, err := m.collection(c)
	if err != nil {
		return m.refuse(c, err)
	}
	current, err := m.read(c)
	if err != nil {
		return m.refuse(c, err)
	}
	reader := edit.NewReader(current.Document)
	opened, err := openForm(spec, c.Param("id"), reader)
	if err != nil {
		return m.refuse(c, err)
	}
	return m.render(c, http.StatusOK, "form.html", c.Param("id"), opened)
}

// entered reads a posted form.
func entered(c echo.Context, spec collectionSpec) form {
	f := form{Collection: spec, ID: c.FormValue("element"), Note: c.FormValue("note")}
	f.New = f.ID == ""
	for _, field := range spec.Fields {
		in := input{fieldSpec: field, Value: c.FormValue("field." + field.Name), Old: c.FormValue("old." + field.Name)}
		in.ReadOnly = !f.New && field.Name == "id"
		if f.New && field.Name == "id" {
			f.ID = in.Value
		}
		f.Inputs = append(f.Inputs, in)
	}
	return f
}

// previewContent is the content of the page that shows a change before it is
// made.
type previewContent struct {
	Edits []edit.Edit
	// Encoded carries the edits to the commit.
	Encoded string
	Note    string
}

// preview checks a form against the latest document and shows the difference,
// or the form again with the findings beside its fields.
func (m *Module) preview(c echo.Context) error {
	spec, err := m.collection(c)
	if err != nil {
		return m.refuse(c, err)
	}
	f := entered(c, spec)
	edits := f.edits()
	current, err := m.read(c)
	if err != nil {
		return m.refuse(c, err)
	}
	_, err = edit.Apply(current.Document, edits)
	var invalid *finding.Error
	if errors.As(err, &invalid) {
		f.place(invalid.Findings)
		return m.render(c, http.StatusUnprocessableEntity, "form.html", "Mend the marked fields", f)
	}
	if err != nil {
		return m.refuse(c, err)
	}
	return m.showPreview(c, edits, f.Note)
}

// place puts findings beside the fields that they belong to.
func (f *form) place(findings []finding.Finding) {
	prefix := "/" + f.Collection.Name + "/" + f.ID + "/"
	for _, found := range findings {
		placed := false
		for i := range f.Inputs {
			if found.Field == prefix+f.Inputs[i].Name {
				f.Inputs[i].Problem = found.Message
				placed = true
			}
		}
		if !placed {
			f.Other = append(f.Other, found.String())
		}
	}
	// A form that is shown again still adds a new element.
	if f.New {
		f.ID = ""
	}
}

func (m *Module) showPreview(c echo.Context, edits []edit.Edit, note string) error {
	encoded, err := json.Marshal(edits)
	if err != nil {
		return m.refuse(c, err)
	}
	content := previewContent{Edits: edits, Encoded: string(encoded), Note: note}
	return m.render(c, http.StatusOK, "preview.html", "Check the change", content)
}

func (m *Module) previewRemoval(c echo.Context) error {
	spec, err := m.collection(c)
	if err != nil {
		return m.refuse(c, err)
	}
	current, err := m.read(c)
	if err != nil {
		return m.refuse(c, err)
	}
	field := "/" + spec.Name + "/" + c.FormValue("element")
	old, err := edit.Value(current.Document, field)
	if err != nil {
		return m.refuse(c, err)
	}
	return m.showPreview(c, []edit.Edit{{Field: field, Old: old}}, "")
}

func (m *Module) commit(c echo.Context) error {
	var edits []edit.Edit
	if err := json.Unmarshal([]byte(c.FormValue("edits")), &edits); err != nil {
		return m.refuse(c, errors.New("the form is not valid; go back and try again"))
	}
	ctx, cancel := storeContext(c)
	defer cancel()
	proposal := edit.Proposal{Author: sessionOf(c).operator, Note: c.FormValue("note"), Edits: edits}
	change, err := m.service.Editor.Commit(ctx, proposal)
	return m.committed(c, change, err)
}

func (m *Module) committed(c echo.Context, change *edit.Change, err error) error {
	if err != nil {
		return m.refuse(c, err)
	}
	return c.Redirect(http.StatusSeeOther, "/progress?revision="+strconv.FormatInt(change.Revision, 10))
}

func (m *Module) showProgress(c echo.Context) error {
	revision, err := strconv.ParseInt(c.QueryParam("revision"), 10, 64)
	if err != nil {
		return m.refuse(c, errors.New("the revision must be a number"))
	}
	progress, err := m.service.Progress(c.Request().Context(), revision)
	if err != nil {
		return m.refuse(c, err)
	}
	title, refresh := "Coming into force", progressRefresh
	if progress.Accepted {
		title, refresh = "In force", 0
	}
	return m.renderRefreshing(c, http.StatusOK, "progress.html", title, progress, refresh)
}

func (m *Module) showHistory(c echo.Context) error {
	ctx, cancel := storeContext(c)
	defer cancel()
	changes, err := m.service.Editor.History(ctx)
	if err != nil {
		return m.refuse(c, err)
	}
	return m.render(c, http.StatusOK, "history.html", "History", changes)
}

func (m *Module) undo(c echo.Context) error {
	number, err := strconv.ParseUint(c.FormValue("number"), 10, 64)
	if err != nil {
		return m.refuse(c, errors.New("the change's number is not valid"))
	}
	ctx, cancel := storeContext(c)
	defer cancel()
	change, err := m.service.Editor.Undo(ctx, number, edit.Proposal{Author: sessionOf(c).operator})
	return m.committed(c, change, err)
}

func (m *Module) grantKey(c echo.Context) error {
	ctx, cancel := storeContext(c)
	defer cancel()
	request := operator.KeyRequest{ID: c.FormValue("id"), Organisation: c.FormValue("organisation"), Note: c.FormValue("note")}
	answer, err := m.service.GrantKey(ctx, sessionOf(c).operator, request)
	if err != nil {
		return m.refuse(c, err)
	}
	return m.render(c, http.StatusOK, "key.html", "New key", answer)
}
