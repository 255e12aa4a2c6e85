package console

import (
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"
)

// carriedPathField names the path that a carried form was sent to.
const carriedPathField = "carried_path"

// carriedField is one value of a carried form.
type carriedField struct {
	Name, Value string
}

// carriedForm is a form that was sent without a valid session. It is kept in
// the page, so that nothing that was typed is lost, and is sent again by the
// operator, who has signed in meanwhile.
type carriedForm struct {
	// Path is where the form goes; empty if there is none to carry.
	Path   string
	Fields []carriedField
	// Problem says why the sign-in failed.
	Problem string
}

// renew asks for a new sign-in and keeps the form that came without one.
func (m *Module) renew(c echo.Context, carried carriedForm) error {
	carried.Problem = "Your sign-in has ended."
	return m.render(c, http.StatusUnauthorized, "login.html", "Sign in again", carried)
}

// resume shows a carried form again, with the token of the operator's session.
// A change is shown with its difference before it can be sent.
func (m *Module) resume(c echo.Context, status int, carried carriedForm) error {
	if carried.Path == pathChanges {
		content, err := enteredChange(c)
		if err != nil {
			return m.refuse(c, err)
		}
		return m.showPreview(c, status, content)
	}
	return m.render(c, status, "resume.html", "Go on where you were", carried)
}

// carriedOf returns the form of a request, if its path is one to carry.
func carriedOf(c echo.Context, path string) carriedForm {
	preview := strings.HasPrefix(path, "/part/") && strings.HasSuffix(path, "/preview")
	commit := path == pathChanges
	if !preview && !commit {
		return carriedForm{}
	}
	carried := carriedForm{Path: path}
	values, err := c.FormParams()
	if err != nil {
		return carriedForm{}
	}
	for name := range values {
		if name != csrfField && name != carriedPathField && name != "token" {
			carried.Fields = append(carried.Fields, carriedField{Name: name, Value: values.Get(name)})
		}
	}
	return carried
}
