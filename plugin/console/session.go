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
	sessionLength     = 8 * time.Hour
	sessionContextKey = "console-session"
	csrfField         = "csrf"
)

// session is a signed-in operator on one request.
type session struct {
	operator string
	csrf     string
}

// sessions signs and checks the cookies of signed-in operators. Every node
// accepts them, as the signing key comes from the fleet secret; an operator
// whose token was withdrawn is signed out at once.
type sessions struct {
	// renew asks for a new sign-in and keeps the form that came without one;
	// resume shows the form again to an operator who is signed in.
	renew   func(c echo.Context, carried carriedForm) error
	resume  func(c echo.Context, status int, carried carriedForm) error
	key     []byte
	clock   clockwork.Clock
	service *operatorplugin.Service
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

// issue returns the cookie of an operator whose token has the hash.
func (s *sessions) issue(tokenHash string) *http.Cookie {
	expires := s.clock.Now().Add(sessionLength)
	value := tokenHash + "." + strconv.FormatInt(expires.Unix(), 10)
	return &http.Cookie{
		Name:  operator.SessionCookie,
		Value: base64.RawURLEncoding.EncodeToString([]byte(value + "." + sign(s.key, value))),
		Path:  "/", Expires: expires, HttpOnly: true, SameSite: http.SameSiteStrictMode,
	}
}

// check returns the session of a cookie's value.
func (s *sessions) check(cookie string) (session, bool) {
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
	found, ok := s.service.Authenticate(parts[0])
	return session{operator: found.ID, csrf: sign(s.key, "csrf "+cookie)}, ok
}

// require lets signed-in operators pass, and their forms only with the token
// that their own page carried.
func (s *sessions) require(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		found, ok := s.signedIn(c)
		post := c.Request().Method == http.MethodPost
		switch {
		case !ok && post:
			return s.renew(c, carriedOf(c, c.Request().URL.Path))
		case !ok:
			return c.Redirect(http.StatusSeeOther, "/login")
		}
		c.Set(sessionContextKey, found)
		if post && !hmac.Equal([]byte(c.FormValue(csrfField)), []byte(found.csrf)) {
			return s.resume(c, http.StatusForbidden, carriedOf(c, c.Request().URL.Path))
		}
		return next(c)
	}
}

func (s *sessions) signedIn(c echo.Context) (session, bool) {
	cookie, err := c.Cookie(operator.SessionCookie)
	if err != nil {
		return session{}, false
	}
	return s.check(cookie.Value)
}

func sessionOf(c echo.Context) session {
	found, _ := c.Get(sessionContextKey).(session)
	return found
}

func (m *Module) showLogin(c echo.Context) error {
	return m.render(c, http.StatusOK, "login.html", "Sign in", carriedForm{})
}

// login signs an operator in. A form that was sent without a session is shown
// again, with the token of the new one.
func (m *Module) login(c echo.Context) error {
	carried := carriedOf(c, c.FormValue(carriedPathField))
	hash := operator.HashToken(strings.TrimSpace(c.FormValue("token")))
	if _, ok := m.service.Authenticate(hash); !ok {
		carried.Problem = "That token is not known here."
		return m.render(c, http.StatusUnauthorized, "login.html", "Sign in", carried)
	}
	cookie := m.sessions.issue(hash)
	c.SetCookie(cookie)
	if carried.Path == "" {
		return c.Redirect(http.StatusSeeOther, "/")
	}
	found, _ := m.sessions.check(cookie.Value)
	c.Set(sessionContextKey, found)
	return m.resume(c, http.StatusOK, carried)
}

func (m *Module) logout(c echo.Context) error {
	c.SetCookie(&http.Cookie{Name: operator.SessionCookie, Path: "/", MaxAge: -1, HttpOnly: true, SameSite: http.SameSiteStrictMode})
	return c.Redirect(http.StatusSeeOther, "/login")
}
