package console

import (
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"
)

// savedPathField is the name of the form field with the path that a saved form
// was submitted to.
const savedPathField = "carried_path"

// savedField is one field of a saved form.
type savedField struct {
	Name, Value string
}

// savedForm is a form that was submitted without a valid session or CSRF token.
// The response embeds its fields as hidden inputs, so that the entered values
// are not lost and the operator can submit the form again after signing in.
type savedForm struct {
	// Path is the path that the form is submitted to; empty if no form is saved.
	Path   string
	Fields []savedField
	// Problem is the reason why the operator has to sign in.
	Problem string
}

// promptLogin renders the login page with the form that was submitted without a
// valid session.
func (m *Module) promptLogin(c echo.Context, saved savedForm) error {
	saved.Problem = "Your sign-in has ended."
	return m.render(c, http.StatusUnauthorized, "login.html", "Sign in again", saved)
}

// showSavedForm renders a saved form with the CSRF token of the operator's
// session. A change is rendered as a preview page with its edits. If no form is
// saved, the page states that nothing was changed.
func (m *Module) showSavedForm(c echo.Context, status int, saved savedForm) error {
	if saved.Path == pathChanges {
		content, err := parsePreview(c)
		if err != nil {
			return m.renderError(c, err)
		}
		return m.showPreview(c, status, content)
	}
	return m.render(c, status, "resume.html", "Go on where you were", saved)
}

// saveForm returns the request's form for submission to the path. It returns
// the zero value if forms for that path are not saved.
func saveForm(c echo.Context, path string) savedForm {
	isPreview := strings.HasPrefix(path, "/part/") && strings.HasSuffix(path, "/preview")
	isCommit := path == pathChanges
	if !isPreview && !isCommit {
		return savedForm{}
	}
	saved := savedForm{Path: path}
	values, err := c.FormParams()
	if err != nil {
		return savedForm{}
	}
	for name := range values {
		if name != csrfField && name != savedPathField && name != "token" {
			saved.Fields = append(saved.Fields, savedField{Name: name, Value: values.Get(name)})
		}
	}
	return saved
}
