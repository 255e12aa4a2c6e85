package standin

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/config"
)

// TestContainsKeyFindsKeysNotTokens checks that a key is found anywhere in a
// request, and that a random token with the key's prefix is not taken for one.
func TestContainsKeyFindsKeysNotTokens(t *testing.T) {
	key := config.NewKey()
	insertions := map[string]func(*http.Request){
		"header": func(r *http.Request) { r.Header.Set("X-Note", "see "+strings.ToUpper(key)) },
		"query":  func(r *http.Request) { r.URL.RawQuery = "a=" + key },
	}
	for name, insertKey := range insertions {
		r := httptest.NewRequest(http.MethodGet, "/x", nil)
		insertKey(r)
		assert.Assert(t, containsKey(r, nil), name)
	}
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	assert.Assert(t, containsKey(r, []byte("body "+key)))
	r.Header.Set("Mangomast-Context", "b1-mM_qLk2Gq9")
	assert.Assert(t, !containsKey(r, nil))
}
