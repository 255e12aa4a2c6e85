package console_test

import (
	"context"
	"io"
	"net/http"
	"net/http/cookiejar"
	"net/url"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/internal/demo"
)

// browser is an HTTP client with a cookie jar. Its methods fail the test on
// transport errors.
type browser struct {
	t      *testing.T
	base   string
	client *http.Client
	token  string
}

func startConsole(t *testing.T) (base, token string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ready := make(chan [2]string, 1)
	done := make(chan error, 1)
	go func() {
		done <- demo.Run(ctx, demo.Options{Out: io.Discard, Ready: func(admin, token string) {
			ready <- [2]string{admin, token}
		}})
	}()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	select {
	case urlAndToken := <-ready:
		return urlAndToken[0], urlAndToken[1]
	case err := <-done:
		done <- err
		t.Fatalf("demo exited before its nodes were ready: %v", err)
		return "", ""
	}
}

func newBrowser(t *testing.T, base string) *browser {
	t.Helper()
	jar, err := cookiejar.New(nil)
	assert.NilError(t, err)
	return &browser{t: t, base: base, client: &http.Client{Jar: jar}}
}

func (b *browser) readResponse(resp *http.Response, err error) (int, string) {
	b.t.Helper()
	assert.NilError(b.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(b.t, err)
	return resp.StatusCode, string(body)
}

func (b *browser) get(path string) (int, string) {
	b.t.Helper()
	return b.readResponse(b.client.Get(b.base + path))
}

func (b *browser) post(path string, values url.Values) (int, string) {
	b.t.Helper()
	return b.readResponse(b.client.PostForm(b.base+path, values))
}

var (
	inputPattern = regexp.MustCompile(`<input[^>]*\bname="([^"]+)"[^>]*?(?:value="([^"]*)")?[^>]*>`)
	namePattern  = regexp.MustCompile(`\bname="([^"]+)"`)
	valuePattern = regexp.MustCompile(`\bvalue="([^"]*)"`)
)

// formFields returns the values of all inputs after the marker in a page, as a
// browser would submit them.
func formFields(body, marker string) url.Values {
	_, body, _ = strings.Cut(body, marker)
	values := url.Values{}
	for _, tag := range inputPattern.FindAllString(body, -1) {
		name := namePattern.FindStringSubmatch(tag)[1]
		if strings.Contains(tag, `type="checkbox"`) && !strings.Contains(tag, " checked") {
			continue
		}
		value := valuePattern.FindStringSubmatch(tag)
		if value == nil {
			value = []string{"", "on"}
		}
		values.Set(name, strings.NewReplacer("&#34;", `"`, "&amp;", "&", "&#43;", "+").Replace(value[1]))
	}
	return values
}

func (b *browser) signIn(token string) {
	b.t.Helper()
	status, body := b.post("/login", url.Values{"token": {token}})
	assert.Equal(b.t, status, http.StatusOK)
	assert.Assert(b.t, strings.Contains(body, "4 of 4 VMs"), body)
}

const (
	editRatePath = "/part/organisations/edit/beach-riders"
	previewPath  = "/part/organisations/preview"
)

func TestEditOrganisationRate(t *testing.T) {
	base, token := startConsole(t)
	b := newBrowser(t, base)
	b.signIn(token)
	_, body := b.get(editRatePath)
	form := formFields(body, `action="`+previewPath)
	assert.Equal(t, form.Get("field.rate"), "200")

	form.Set("field.rate", "many")
	status, body := b.post(previewPath, form)
	assert.Equal(t, status, http.StatusUnprocessableEntity)
	assert.Assert(t, strings.Contains(body, `id="rate-problem"`), body)

	form.Set("field.rate", "55")
	_, body = b.post(previewPath, form)
	assert.Assert(t, strings.Contains(body, "/organisations/beach-riders/rate"), body)
	_, body = b.post("/changes", formFields(body, `action="/changes`))
	assert.Assert(t, strings.Contains(body, "in force on"), body)
	_, body = b.get("/history")
	assert.Assert(t, strings.Contains(body, "night-shift"), body)
	_, body = b.get(editRatePath)
	assert.Equal(t, formFields(body, `action="`+previewPath).Get("field.rate"), "55")
}

func TestConcurrentEditShowsConflict(t *testing.T) {
	base, token := startConsole(t)
	first, second := newBrowser(t, base), newBrowser(t, base)
	first.signIn(token)
	second.signIn(token)
	_, body := second.get(editRatePath)
	secondForm := formFields(body, `action="`+previewPath)
	_, body = first.get(editRatePath)
	firstForm := formFields(body, `action="`+previewPath)
	firstForm.Set("field.rate", "55")
	_, body = first.post(previewPath, firstForm)
	first.post("/changes", formFields(body, `action="/changes`))

	secondForm.Set("field.rate", "66")
	status, body := second.post(previewPath, secondForm)
	assert.Equal(t, status, http.StatusConflict)
	assert.Assert(t, strings.Contains(body, "Another operator changed the same field"), body)
}

func TestFormsRequireSessionAndCSRFToken(t *testing.T) {
	base, token := startConsole(t)
	anonymous := newBrowser(t, base)
	_, body := anonymous.get("/")
	assert.Assert(t, strings.Contains(body, "Sign in"), body)
	status, _ := anonymous.post("/login", url.Values{"token": {"wrong"}})
	assert.Equal(t, status, http.StatusUnauthorized)

	b := newBrowser(t, base)
	b.signIn(token)
	status, _ = b.post("/undo", url.Values{"number": {"1"}})
	assert.Equal(t, status, http.StatusForbidden)
}

func TestLiftQuarantineRequiresCSRFToken(t *testing.T) {
	base, token := startConsole(t)
	b := newBrowser(t, base)
	b.signIn(token)
	status, body := b.get("/quarantine")
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, strings.Contains(body, "No request is suspected or quarantined."), body)
	lift := url.Values{"service": {"fares"}, "fingerprint": {strings.Repeat("0f", 16)}}
	status, _ = b.post("/quarantine/lift", lift)
	assert.Equal(t, status, http.StatusForbidden)
	lift.Set("csrf", formFields(body, `action="/logout`).Get("csrf"))
	_, body = b.post("/quarantine/lift", lift)
	assert.Assert(t, strings.Contains(body, "no such suspect or quarantine"), body)
}
