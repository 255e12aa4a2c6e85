package console_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/edit"
	"github.com/mangomast/mangomast/internal/freeport"
	"github.com/mangomast/mangomast/internal/standin"
	"github.com/mangomast/mangomast/node"
	"github.com/mangomast/mangomast/operator"
	"github.com/mangomast/mangomast/settings"
	"github.com/mangomast/mangomast/store/etcd"
)

// startNode runs one node and returns its store, a signed-in browser and the
// node's settings.
func startNode(t *testing.T) (*standin.Store, *browser, *settings.Node) {
	t.Helper()
	backend := standin.NewStore()
	server := httptest.NewServer(backend)
	addresses, err := freeport.Addresses("127.0.0.1", 4)
	assert.NilError(t, err)
	token, hash := operator.NewToken()
	doc := &config.Document{
		Organisations: []config.Organisation{{ID: "beach-riders", Weight: 1, Rate: 200, Burst: 200}},
		Services:      []config.Service{{ID: "fares"}},
		Domains:       []config.FailureDomain{{ID: "a", Region: "r"}},
		Operators:     []config.Operator{{ID: "night-shift", Hash: hash}},
	}
	editor := edit.NewEditor(etcd.New(etcd.Options{Endpoints: []string{server.URL}}), "/mangomast/", clockwork.NewRealClock())
	_, err = editor.Replace(t.Context(), doc, "test")
	assert.NilError(t, err)
	n := &settings.Node{
		VM: "fares-1", FailureDomain: "a", Region: "r", FleetSecret: "a secret of one test", LogLevel: "error",
		Listen: settings.Listen{Callers: addresses[0], Mesh: addresses[1], Egress: addresses[2], Admin: addresses[3]},
		Store:  settings.Store{Endpoints: []string{server.URL}},
	}
	n.SetDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- node.Run(ctx, n, io.Discard) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
		server.CloseClientConnections()
		server.Close()
	})
	client := operator.NewClient("http://"+n.Listen.Admin, token)
	for {
		status, err := client.Status(t.Context())
		if err == nil && status.Revision > 0 && status.Fresh && status.Owned {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	b := newBrowser(t, "http://"+n.Listen.Admin)
	code, _ := b.post("/login", url.Values{"token": {token}})
	assert.Equal(t, code, http.StatusOK)
	b.token = token
	return backend, b, n
}

// openRateForm opens the form of an organisation, sets the rate and returns the
// fields.
func (b *browser) openRateForm(rate string) url.Values {
	b.t.Helper()
	_, body := b.get(editRatePath)
	form := formFields(body, `action="`+previewPath)
	form.Set("field.rate", rate)
	return form
}

func (b *browser) countInHistory(note string) int {
	b.t.Helper()
	_, body := b.get("/history")
	return strings.Count(body, ": "+note+"</p>")
}

func TestStoreOutageKeepsEnteredValues(t *testing.T) {
	t.Parallel()
	backend, b, _ := startNode(t)
	form := b.openRateForm("55")
	form.Set("note", "regatta")
	backend.SetFaults(standin.Faults{Outage: true})
	code, body := b.post(previewPath, form)
	assert.Equal(t, code, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(body, "Nothing was changed"), body)
	returned := formFields(body, `action="`+previewPath)
	assert.Equal(t, returned.Get("field.rate")+returned.Get("note"), "55regatta")

	backend.SetFaults(standin.Faults{})
	_, body = b.post(previewPath, returned)
	change := formFields(body, `action="/changes`)
	backend.SetFaults(standin.Faults{Outage: true})
	code, body = b.post("/changes", change)
	assert.Equal(t, code, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(body, "Try again"), body)
	resubmission := formFields(body, `action="/changes`)
	assert.Equal(t, resubmission.Get("id"), change.Get("id"))

	backend.SetFaults(standin.Faults{})
	_, body = b.post("/changes", resubmission)
	assert.Assert(t, strings.Contains(body, "in force on"), body)
	assert.Equal(t, b.countInHistory("regatta"), 1)
}

func TestResubmittedFormMakesOneChange(t *testing.T) {
	t.Parallel()
	backend, b, _ := startNode(t)
	form := b.openRateForm("55")
	form.Set("note", "regatta")
	_, body := b.post(previewPath, form)
	change := formFields(body, `action="/changes`)
	backend.SetFaults(standin.Faults{DropAnswerEvery: 1})
	for range 2 {
		_, body = b.post("/changes", change)
		assert.Assert(t, strings.Contains(body, "in force on"), body)
	}
	assert.Equal(t, b.countInHistory("regatta"), 1)
}

func TestExpiredSessionKeepsEnteredValues(t *testing.T) {
	t.Parallel()
	_, b, _ := startNode(t)
	form := b.openRateForm("55")
	otherBrowser := newBrowser(t, b.base)
	code, body := otherBrowser.post(previewPath, form)
	assert.Equal(t, code, http.StatusUnauthorized)
	login := formFields(body, `action="/login`)
	login.Set("token", b.token)
	_, body = otherBrowser.post("/login", login)
	_, body = otherBrowser.post(previewPath, formFields(body, `action="`+previewPath))
	change := formFields(body, `action="/changes`)
	assert.Assert(t, strings.Contains(change.Get("edits"), "55"), body)

	// A previewed change is shown as a preview again, with the CSRF token of the
	// new session.
	code, body = newBrowser(t, b.base).post("/changes", change)
	assert.Equal(t, code, http.StatusUnauthorized)
	login = formFields(body, `action="/login`)
	login.Set("token", b.token)
	_, body = otherBrowser.post("/login", login)
	assert.Assert(t, strings.Contains(body, "Check the change"), body)
	_, body = otherBrowser.post("/changes", formFields(body, `action="/changes`))
	assert.Assert(t, strings.Contains(body, "in force on"), body)
}

func TestConflictKeepsValuesOfOtherFields(t *testing.T) {
	t.Parallel()
	_, b, _ := startNode(t)
	laterForm := b.openRateForm("66")
	laterForm.Set("field.burst", "300")
	_, body := b.post(previewPath, laterForm)
	previewed := formFields(body, `action="/changes`)
	earlierForm := b.openRateForm("55")
	earlierForm.Set("note", "regatta")
	_, body = b.post(previewPath, earlierForm)
	b.post("/changes", formFields(body, `action="/changes`))

	for path, values := range map[string]url.Values{previewPath: laterForm, "/changes": previewed} {
		code, body := b.post(path, values)
		assert.Equal(t, code, http.StatusConflict, body)
		assert.Assert(t, strings.Contains(body, "night-shift,") && strings.Contains(body, "regatta"), body)
		form := formFields(body, `action="`+previewPath)
		assert.Equal(t, form.Get("field.rate")+" "+form.Get("old.rate")+" "+form.Get("field.burst"), "55 55 300")
	}
}

func TestFindingsAreShownAtTheirField(t *testing.T) {
	t.Parallel()
	_, b, _ := startNode(t)
	for _, test := range []struct{ part, field, value, problem string }{
		{"organisations", "id", "Beach Riders", "lower-case"},
		{"organisations", "id", "beach-riders", "exists already"},
		{"organisations", "rate", "many", "expected a number, found a string"},
		{"routes", "open_to", "nobody", "is not an organisation"},
		{"routes", "importance", "300", "expected a number"},
		{"routes", "deadline", "2", "is not a duration"},
	} {
		_, body := b.get("/part/" + test.part + "/new")
		form := formFields(body, "/preview")
		for name, value := range map[string]string{"id": "new-one", "weight": "1", "rate": "1", "burst": "1", "path": "/x", "method": "GET", "open_to": "all", "importance": "5", "deadline": "2s", "retry_budget": "1", "max_request_bytes": "1", "max_answer_bytes": "1", "service": "fares", test.field: test.value} {
			form.Set("field."+name, value)
		}
		_, body = b.post("/part/"+test.part+"/preview", form)
		_, body, hasProblem := strings.Cut(body, `id="`+test.field+`-problem"`)
		assert.Assert(t, hasProblem, test.field+" "+test.value)
		text, _, _ := strings.Cut(body, "</div>")
		assert.Assert(t, strings.Contains(text, test.problem), text)
	}
}

func TestGrantKeyPage(t *testing.T) {
	t.Parallel()
	backend, b, _ := startNode(t)
	_, body := b.get("/part/keys/new")
	form := formFields(body, `action="/keys`)
	form.Set("id", "spare")
	form.Set("organisation", "beach-riders")
	backend.SetFaults(standin.Faults{Outage: true})
	code, body := b.post("/keys", form)
	assert.Equal(t, code, http.StatusServiceUnavailable)
	assert.Equal(t, formFields(body, `action="/keys`).Get("id"), "spare")
	backend.SetFaults(standin.Faults{})
	_, body = b.post("/keys", form)
	assert.Assert(t, strings.Contains(body, "mm_"), body)
	code, body = b.post("/keys", form)
	assert.Equal(t, code, http.StatusConflict)
	assert.Assert(t, strings.Contains(body, "exists already"), body)
}

func TestUndoShowsPreview(t *testing.T) {
	t.Parallel()
	_, b, _ := startNode(t)
	_, body := b.post(previewPath, b.openRateForm("55"))
	b.post("/changes", formFields(body, `action="/changes`))
	_, body = b.get("/history")
	undo := formFields(body, `action="/undo`)
	code, _ := b.post("/undo", undo)
	assert.Equal(t, code, http.StatusConflict, "the first change was overwritten by the second")
	undo.Set("number", "2")
	_, body = b.post("/undo", undo)
	assert.Assert(t, strings.Contains(body, "Check the change"), body)
	b.post("/changes", formFields(body, `action="/changes`))
	_, body = b.get(editRatePath)
	assert.Equal(t, formFields(body, `action="`+previewPath).Get("field.rate"), "200")
}

var (
	idPattern      = regexp.MustCompile(`\bid="([^"]+)"`)
	labelPattern   = regexp.MustCompile(`<label for="([^"]+)"`)
	controlPattern = regexp.MustCompile(`<(?:input|select)\b[^>]*>`)
)

// TestPagesAreUsableByKeyboard checks that each control has a label, that IDs
// are unique, that each page has a skip link to its content, and that no page
// has scripts.
func TestPagesAreUsableByKeyboard(t *testing.T) {
	t.Parallel()
	_, b, _ := startNode(t)
	pages := []string{"/", "/history", "/quarantine", "/part/organisations/edit/beach-riders"}
	for _, part := range []string{"organisations", "keys", "routes", "services", "failure_domains", "operators"} {
		pages = append(pages, "/part/"+part, "/part/"+part+"/new")
	}
	pages = append(pages, "/part/keys/edit/spare")
	_, body := b.get("/part/keys/new")
	form := formFields(body, `action="/keys`)
	form.Set("id", "spare")
	form.Set("organisation", "beach-riders")
	b.post("/keys", form)
	for _, path := range pages {
		code, body := b.get(path)
		assert.Equal(t, code, http.StatusOK, path)
		ids, labels := map[string]int{}, map[string]bool{}
		for _, id := range idPattern.FindAllStringSubmatch(body, -1) {
			ids[id[1]]++
			assert.Equal(t, ids[id[1]], 1, "%s: id %s", path, id[1])
		}
		for _, label := range labelPattern.FindAllStringSubmatch(body, -1) {
			labels[label[1]] = true
		}
		for _, control := range controlPattern.FindAllString(body, -1) {
			id := idPattern.FindStringSubmatch(control)
			assert.Assert(t, strings.Contains(control, `type="hidden"`) || id != nil && labels[id[1]], "%s: %s", path, control)
		}
		assert.Assert(t, strings.Contains(body, `href="#main"`) && ids["main"] == 1, path)
		assert.Assert(t, !strings.Contains(body, "<script") && !strings.Contains(body, " onclick"), path)
	}
}

func TestAdminAndCallerListenersServeDifferentPaths(t *testing.T) {
	t.Parallel()
	_, b, n := startNode(t)
	code, _ := b.get("/fares/quote")
	assert.Equal(t, code, http.StatusNotFound)
	for _, path := range []string{"/login", "/api/document", "/metrics"} {
		resp, err := http.Get("http://" + n.Listen.Callers + path)
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		assert.Equal(t, resp.StatusCode, http.StatusUnauthorized, path)
	}
	invalid := *n
	invalid.Listen.Admin = invalid.Listen.Callers
	data, err := json.Marshal(invalid)
	assert.NilError(t, err)
	_, findings := settings.Parse("node.json", data)
	assert.ErrorContains(t, findings.Err(), "/listen/admin")
}
