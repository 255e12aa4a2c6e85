package standin

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/config"
)

func TestHoldsKeyFindsKeysNotTokens(t *testing.T) {
	key := config.NewKey()
	places := map[string]func(*http.Request){
		"header": func(r *http.Request) { r.Header.Set("X-Note", "see "+strings.ToUpper(key)) },
		"query":  func(r *http.Request) { r.URL.RawQuery = "a=" + key },
	}
	for name, place := range places {
		r := httptest.NewRequest(http.MethodGet, "/x", nil)
		place(r)
		assert.Assert(t, holdsKey(r, nil), name)
	}
	r := httptest.NewRequest(http.MethodGet, "/x", nil)
	assert.Assert(t, holdsKey(r, []byte("body "+key)))
	r.Header.Set("Mangomast-Context", "b1-mM_qLk2Gq9")
	assert.Assert(t, !holdsKey(r, nil))
}
