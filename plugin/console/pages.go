package console

import (
	"net/http"
	"slices"
	"strings"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/edit"
	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/operator"
	"github.com/mangomast/mangomast/settings"
)

// maxListedVMs limits the VMs in the overview's table.
const maxListedVMs = 200

// overview is the content of the start page.
type overview struct {
	Revision int64
	Fresh    bool
	Progress operator.Progress
	Members  []membership.Entry
	// More is the number of VMs that the table omits; 0 or negative if it lists
	// all.
	More int
}

func (m *Module) showOverview(c echo.Context) error {
	content := overview{Fresh: m.config.Fresh()}
	if snapshot := m.config.Snapshot(); snapshot != nil {
		content.Revision = snapshot.Revision
	}
	var err error
	content.Members, content.Progress, err = m.service.Overview(c.Request().Context(), content.Revision)
	if err != nil {
		return m.renderError(c, err)
	}
	content.truncate()
	return m.render(c, http.StatusOK, "overview.html", "Overview", content)
}

// truncate limits the lists to the size of a page. VMs that do not have the
// revision yet are sorted first.
func (o *overview) truncate() {
	behind := func(e membership.Entry) bool { return e.ConfigRevision < o.Revision }
	slices.SortStableFunc(o.Members, func(a, b membership.Entry) int {
		switch {
		case behind(a) && !behind(b):
			return -1
		case behind(b) && !behind(a):
			return 1
		}
		return strings.Compare(a.VM, b.VM)
	})
	if o.More = len(o.Members) - maxListedVMs; o.More > 0 {
		o.Members = o.Members[:maxListedVMs]
	}
	if len(o.Progress.Waiting) > maxWaitingNames {
		o.Progress.Waiting = append(o.Progress.Waiting[:maxWaitingNames:maxWaitingNames], "others")
	}
}

// row is one element of a collection in its table.
type row struct {
	ID    string
	Cells []string
}

// collectionContent is the content of the page that lists a collection.
type collectionContent struct {
	Collection collectionSpec
	Rows       []row
	// Keys is true for the collection of keys, which are granted and withdrawn
	// instead of added and removed.
	Keys bool
}

func (m *Module) collection(c echo.Context) (collectionSpec, error) {
	spec, ok := findCollection(c.Param("collection"))
	if !ok {
		return spec, errors.New("the configuration has no such part")
	}
	return spec, nil
}

// openCollection returns the request's collection and a reader of the latest
// document.
func (m *Module) openCollection(c echo.Context) (collectionSpec, *edit.Reader, error) {
	spec, err := m.collection(c)
	if err != nil {
		return spec, nil, err
	}
	current, err := m.readDocument(c)
	if err != nil {
		return spec, nil, err
	}
	return spec, edit.NewReader(current.Document), nil
}

func (m *Module) showCollection(c echo.Context) error {
	spec, reader, err := m.openCollection(c)
	if err != nil {
		return m.renderError(c, err)
	}
	content := collectionContent{Collection: spec, Keys: spec.Name == "keys"}
	for _, id := range reader.IDs(spec.Name) {
		f, err := openForm(spec, id, reader)
		if err != nil {
			return m.renderError(c, err)
		}
		r := row{ID: id}
		for _, in := range f.Inputs {
			r.Cells = append(r.Cells, in.Value)
		}
		content.Rows = append(content.Rows, r)
	}
	return m.render(c, http.StatusOK, "collection.html", spec.Title, content)
}

func (m *Module) showNew(c echo.Context) error {
	spec, err := m.collection(c)
	if err != nil {
		return m.renderError(c, err)
	}
	f, err := openForm(spec, "", nil)
	if err != nil {
		return m.renderError(c, err)
	}
	return m.showForm(c, http.StatusOK, "New in "+spec.Title, f)
}

func (m *Module) showEdit(c echo.Context) error {
	spec, reader, err := m.openCollection(c)
	if err != nil {
		return m.renderError(c, err)
	}
	f, err := openForm(spec, c.Param("id"), reader)
	if err != nil {
		return m.renderError(c, err)
	}
	if f.Inputs[0].Old == "" {
		return m.renderError(c, errors.Errorf("%s has no %q any more", spec.Title, c.Param("id")))
	}
	return m.showForm(c, http.StatusOK, c.Param("id"), f)
}

// showForm renders a form with its suggested values.
func (m *Module) showForm(c echo.Context, status int, title string, f form) error {
	if snapshot := m.config.Snapshot(); snapshot != nil {
		f.setChoices(snapshot.Document)
	}
	return m.render(c, status, "form.html", title, f)
}

// parseForm parses a submitted form.
func parseForm(c echo.Context, spec collectionSpec) form {
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

// preview validates a form against the latest document and renders the edits.
// If validation fails, it renders the form again with the findings at its
// fields.
func (m *Module) preview(c echo.Context) error {
	spec, err := m.collection(c)
	if err != nil {
		return m.renderError(c, err)
	}
	f := parseForm(c, spec)
	if f.New && !settings.ValidName(f.ID) {
		f.attachFindings([]finding.Finding{{Field: f.field("id"), Message: "must be 1 to 63 lower-case letters, digits, '.', '_' or '-'"}})
		return m.showForm(c, http.StatusUnprocessableEntity, "Mend the marked fields", f)
	}
	edits := f.edits()
	ctx, cancel := storeContext(c)
	defer cancel()
	if err = m.service.Editor.Preview(ctx, edits); err != nil {
		return m.renderFormError(c, f, err)
	}
	return m.showPreview(c, http.StatusOK, newPreview(edits, f.Note))
}

// renderFormError renders a form again with the entered values and the error.
func (m *Module) renderFormError(c echo.Context, f form, err error) error {
	var conflict *edit.ConflictError
	var invalid *finding.Error
	switch {
	case errors.As(err, &invalid):
		f.attachFindings(invalid.Findings)
		return m.showForm(c, http.StatusUnprocessableEntity, "Mend the marked fields", f)
	case errors.As(err, &conflict) && f.New:
		f.attachFindings([]finding.Finding{{Field: f.field("id"), Message: "exists already; choose another ID"}})
		return m.showForm(c, http.StatusConflict, "Choose another ID", f)
	case errors.As(err, &conflict):
		return m.showConflict(c, f, conflict)
	}
	errPage := describeError(err)
	f.Other = append(f.Other, errPage.Message)
	return m.showForm(c, errPage.status, errPage.title, f)
}

// showConflict renders a form again with the conflicting changes of other
// operators. Fields in conflict are reset to their current value; the other
// fields keep the entered values.
func (m *Module) showConflict(c echo.Context, f form, conflict *edit.ConflictError) error {
	current, err := m.readDocument(c)
	if err != nil {
		return m.renderFormError(c, f, err)
	}
	latest, err := openForm(f.Collection, f.ID, edit.NewReader(current.Document))
	if err != nil {
		return m.renderError(c, err)
	}
	f.Conflicts = conflict.Conflicts
	for i := range f.Inputs {
		in := &f.Inputs[i]
		in.Old = latest.Inputs[i].Old
		if conflict.HasField(f.field(in.Name)) {
			in.Value, in.Problem = latest.Inputs[i].Value, "changed by another operator; this is the value of now"
		}
	}
	return m.showForm(c, http.StatusConflict, describeError(conflict).title, f)
}

// attachFindings sets findings as the problems of the inputs that they belong
// to, and adds the others to f.Other.
func (f *form) attachFindings(findings []finding.Finding) {
	for _, found := range findings {
		attached := false
		for i := range f.Inputs {
			field := f.field(f.Inputs[i].Name)
			if found.Field == field || strings.HasPrefix(found.Field, field+"/") {
				f.Inputs[i].Problem = found.Message
				attached = true
			}
		}
		if !attached {
			f.Other = append(f.Other, found.String())
		}
	}
	// A form for a new element has no ID, also when it is rendered again.
	if f.New {
		f.ID = ""
	}
}

func (m *Module) previewRemoval(c echo.Context) error {
	spec, reader, err := m.openCollection(c)
	if err != nil {
		return m.renderError(c, err)
	}
	field := "/" + spec.Name + "/" + c.FormValue("element")
	old, err := reader.Value(field)
	if err != nil {
		return m.renderError(c, err)
	}
	if old == nil {
		return m.renderError(c, edit.ErrUnchanged)
	}
	return m.showPreview(c, http.StatusOK, newPreview([]edit.Edit{{Field: field, Old: old}}, ""))
}
