package console

import (
	"html/template"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/operator"
)

func TestQuarantinePageListsRecordsWithLiftForm(t *testing.T) {
	response := &operator.QuarantineResponse{Unheard: []string{"cards"}, Records: []operator.QuarantineRecord{{
		Fingerprint: "0123456789abcdef0123456789abcdef", Kind: "quarantined", Service: "fares", Route: "quote",
		Organisation: "beach-riders", Crashes: 2, VMs: []string{"fares-1", "fares-2"}, SinceSeconds: 60, LeftSeconds: 540,
	}}}
	now := time.Date(2026, 1, 2, 23, 30, 0, 0, time.UTC)
	templates, err := template.ParseFS(templateFiles, "templates/*.html")
	assert.NilError(t, err)
	var out strings.Builder
	quarantinePage := page{Title: "Quarantine", Operator: "night-shift", CSRF: "token-of-page", Content: newQuarantineContent(response, now)}
	assert.NilError(t, templates.ExecuteTemplate(&out, "quarantine.html", quarantinePage))
	for _, wanted := range []string{
		"quarantined", "fares-1 fares-2", "quote", "beach-riders", "23:29:00 UTC", "23:39:00 UTC", "cards",
		`name="csrf" value="token-of-page"`, `name="fingerprint" value="0123456789abcdef0123456789abcdef"`,
		`aria-label="Lift quarantined request`,
	} {
		assert.Assert(t, strings.Contains(out.String(), wanted), "%q is not in %s", wanted, out.String())
	}
}
