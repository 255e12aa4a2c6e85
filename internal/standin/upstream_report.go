package standin

import (
	"io"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
)

// Report is what an upstream has seen.
type Report struct {
	// Runs counts the runs of each request that carried HeaderTestID.
	Runs map[string]int `json:"runs"`
	// Total counts all runs; Failed those answered with an error.
	Total  int `json:"total"`
	Failed int `json:"failed"`
	// BusyMicros is the slot time spent.
	BusyMicros int64 `json:"busy_us"`
	// BusyByID is the slot time spent on each request with HeaderTestID.
	BusyByID map[string]int64 `json:"busy_by_id"`
	// KeysSeen counts requests in which a caller's key was found.
	KeysSeen int `json:"keys_seen"`
	// Organisations counts runs by organisation.
	Organisations map[string]int `json:"organisations"`
	// LastRunUnixMicros is when the last run began.
	LastRunUnixMicros int64 `json:"last_run_unix_us"`
	// LastRunOf is when the last run for each organisation began, in
	// microseconds of Unix time.
	LastRunOf map[string]int64 `json:"last_run_of_unix_us"`
}

// begin records a run.
func (u *Upstream) begin(r *http.Request, body []byte) Behaviour {
	seen := holdsKey(r, body)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.report.Total++
	u.report.LastRunUnixMicros = time.Now().UnixMicro()
	organisation := r.Header.Get(call.HeaderOrganisation)
	u.report.Organisations[organisation]++
	u.report.LastRunOf[organisation] = u.report.LastRunUnixMicros
	if id := r.Header.Get(HeaderTestID); id != "" {
		u.report.Runs[id]++
		u.record(id)
	}
	if seen {
		u.report.KeysSeen++
	}
	return u.behaviour
}

func (u *Upstream) record(id string) {
	if u.journal != nil {
		_, _ = io.WriteString(u.journal, id+"\n")
	}
}

// keyPattern matches a caller's key in any case. The key's prefix alone stands
// in random tokens now and then.
var keyPattern = regexp.MustCompile("(?i)" + config.KeyPrefix + "[a-z2-7]{32}")

// holdsKey looks for a caller's key in the whole request.
func holdsKey(r *http.Request, body []byte) bool {
	if keyPattern.MatchString(r.URL.String()) || keyPattern.Match(body) {
		return true
	}
	for _, header := range []http.Header{r.Header, r.Trailer} {
		for name, values := range header {
			if keyPattern.MatchString(name + " " + strings.Join(values, " ")) {
				return true
			}
		}
	}
	return false
}
