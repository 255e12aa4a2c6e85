package ingress

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/operator"
)

func TestTakeKeyRemovesEveryCopy(t *testing.T) {
	const key = "mm_secret"
	places := map[string]func(*http.Request){
		"bearer": func(r *http.Request) { r.Header.Set("Authorization", "bearer "+key) },
		"header": func(r *http.Request) { r.Header.Set(call.HeaderKey, key) },
		"query":  func(r *http.Request) { r.URL.RawQuery = "a=1&Mangomast_Key=%6dm_secret&b=2" },
		"cookie": func(r *http.Request) { r.AddCookie(&http.Cookie{Name: keyCookie, Value: key}) },
	}
	for name, place := range places {
		r := httptest.NewRequest(http.MethodGet, "/x?a=1", nil)
		r.Header.Set("X-Copy", "see "+key)
		r.AddCookie(&http.Cookie{Name: "session", Value: "kept"})
		place(r)
		got, ok := extractKey(r)
		assert.Assert(t, ok, name)
		assert.Equal(t, got, key, name)
		var dump strings.Builder
		assert.NilError(t, r.Header.Write(&dump))
		dump.WriteString(r.URL.String())
		assert.Assert(t, !strings.Contains(dump.String(), key), "%s: %s", name, dump.String())
		assert.Assert(t, strings.Contains(r.URL.RawQuery, "a=1"), name)
		assert.Assert(t, strings.Contains(r.Header.Get("Cookie"), "kept"), name)
	}
}

// TestOperatorSessionCookieIsRemoved covers a browser that is signed in to the
// console and calls a service on the same IP address: its session cookie must
// not reach an upstream.
func TestOperatorSessionCookieIsRemoved(t *testing.T) {
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	r.AddCookie(&http.Cookie{Name: operator.SessionCookie, Value: "signed"})
	r.AddCookie(&http.Cookie{Name: "session", Value: "kept"})
	_, ok := extractKey(r)
	assert.Assert(t, !ok)
	assert.Equal(t, r.Header.Get("Cookie"), "session=kept")
}

func TestTakeKeyRefusesTwoKeys(t *testing.T) {
	r := httptest.NewRequest(http.MethodGet, "/x?mangomast_key=one", nil)
	r.Header.Set(call.HeaderKey, "two")
	_, ok := extractKey(r)
	assert.Assert(t, !ok)
	assert.Equal(t, r.URL.RawQuery, "")
	assert.Equal(t, r.Header.Get(call.HeaderKey), "")
}
