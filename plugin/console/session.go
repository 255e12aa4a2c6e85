package console

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"

	"github.com/mangomast/mangomast/operator"
	operatorplugin "github.com/mangomast/mangomast/plugin/operator"
)

const (
	sessionLifetime   = 8 * time.Hour
	sessionContextKey = "console-session"
	csrfField         = "csrf"
)

// session is the operator who is signed in on a request, and the CSRF token of
// the forms on its pages.
type session struct {
	operator string
	csrf     string
}

// sessions issues and verifies signed session cookies. Every node accepts them,
// because the signing key is derived from the fleet secret. A session ends as
// soon as the operator's token is revoked.
type sessions struct {
	// promptLogin renders the login page with a form that was submitted without
	// a valid session. showSavedForm renders a form that was submitted without
	// the CSRF token of the session.
	promptLogin   func(c echo.Context, saved savedForm) error
	showSavedForm func(c echo.Context, status int, saved savedForm) error
	key           []byte
	clock         clockwork.Clock
	service       *operatorplugin.Service
}

func newSessions(secret string, clock clockwork.Clock, service *operatorplugin.Service) *sessions {
	key := sign([]byte(secret), "console session")
	return &sessions{key: []byte(key), clock: clock, service: service}
}

func sign(key []byte, text string) string {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(text))
	return hex.EncodeToString(h.Sum(nil))
}

// issue returns a session cookie for the operator whose token has the hash.
func (s *sessions) issue(tokenHash string) *http.Cookie {
	expires := s.clock.Now().Add(sessionLifetime)
	value := tokenHash + "." + strconv.FormatInt(expires.Unix(), 10)
	return &http.Cookie{
		Name:  operator.SessionCookie,
		Value: base64.RawURLEncoding.EncodeToString([]byte(value + "." + sign(s.key, value))),
		Path:  "/", Expires: expires, HttpOnly: true, SameSite: http.SameSiteStrictMode,
	}
}

// verify returns the session of a cookie value. It returns false if the
// signature is invalid, the cookie has expired or the operator is unknown.
func (s *sessions) verify(cookie string) (session, bool) {
	raw, err := base64.RawURLEncoding.DecodeString(cookie)
	if err != nil {
		return session{}, false
	}
	parts := strings.Split(string(raw), ".")
	if len(parts) != 3 || !hmac.Equal([]byte(parts[2]), []byte(sign(s.key, parts[0]+"."+parts[1]))) {
		return session{}, false
	}
	expires, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil || s.clock.Now().Unix() >= expires {
		return session{}, false
	}
	op, ok := s.service.Authenticate(parts[0])
	return session{operator: op.ID, csrf: sign(s.key, "csrf "+cookie)}, ok
}

// requireSession is middleware that requires a valid session, and for forms also
// the CSRF token of that session.
func (s *sessions) requireSession(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		current, ok := s.readSession(c)
		isPost := c.Request().Method == http.MethodPost
		switch {
		case !ok && isPost:
			return s.promptLogin(c, saveForm(c, c.Request().URL.Path))
		case !ok:
			return c.Redirect(http.StatusSeeOther, "/login")
		}
		c.Set(sessionContextKey, current)
		if isPost && !hmac.Equal([]byte(c.FormValue(csrfField)), []byte(current.csrf)) {
			return s.showSavedForm(c, http.StatusForbidden, saveForm(c, c.Request().URL.Path))
		}
		return next(c)
	}
}

func (s *sessions) readSession(c echo.Context) (session, bool) {
	cookie, err := c.Cookie(operator.SessionCookie)
	if err != nil {
		return session{}, false
	}
	return s.verify(cookie.Value)
}

func sessionOf(c echo.Context) session {
	current, _ := c.Get(sessionContextKey).(session)
	return current
}

func (m *Module) showLogin(c echo.Context) error {
	return m.render(c, http.StatusOK, "login.html", "Sign in", savedForm{})
}

// login signs an operator in. If a form was submitted without a session, it
// renders the form again with the CSRF token of the new session.
func (m *Module) login(c echo.Context) error {
	saved := saveForm(c, c.FormValue(savedPathField))
	hash := operator.HashToken(strings.TrimSpace(c.FormValue("token")))
	if _, ok := m.service.Authenticate(hash); !ok {
		saved.Problem = "That token is not known here."
		return m.render(c, http.StatusUnauthorized, "login.html", "Sign in", saved)
	}
	cookie := m.sessions.issue(hash)
	c.SetCookie(cookie)
	if saved.Path == "" {
		return c.Redirect(http.StatusSeeOther, "/")
	}
	current, _ := m.sessions.verify(cookie.Value)
	c.Set(sessionContextKey, current)
	return m.showSavedForm(c, http.StatusOK, saved)
}

func (m *Module) logout(c echo.Context) error {
	c.SetCookie(&http.Cookie{Name: operator.SessionCookie, Path: "/", MaxAge: -1, HttpOnly: true, SameSite: http.SameSiteStrictMode})
	return c.Redirect(http.StatusSeeOther, "/login")
}
