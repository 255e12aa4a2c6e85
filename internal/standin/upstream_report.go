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

// Report counts the requests that an upstream has received.
type Report struct {
	// Runs counts the runs of each request that carried HeaderTestID.
	Runs map[string]int `json:"runs"`
	// Total counts all runs; Failed those answered with an error.
	Total  int `json:"total"`
	Failed int `json:"failed"`
	// BusyMicros is the total work time, in microseconds, without calls.
	BusyMicros int64 `json:"busy_us"`
	// BusyByID is the work time for each request with HeaderTestID.
	BusyByID map[string]int64 `json:"busy_by_id"`
	// KeysSeen counts requests that contained a caller's key.
	KeysSeen int `json:"keys_seen"`
	// Organisations counts runs by organisation.
	Organisations map[string]int `json:"organisations"`
	// LastRunUnixMicros is the start time of the last run.
	LastRunUnixMicros int64 `json:"last_run_unix_us"`
	// LastRunOf is the start time of the last run for each organisation, in
	// microseconds of Unix time.
	LastRunOf map[string]int64 `json:"last_run_of_unix_us"`
}

// recordRun records a run in the report and the journal and returns the
// behaviour that applies to it.
func (u *Upstream) recordRun(r *http.Request, body []byte) Behaviour {
	hasKey := containsKey(r, body)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.report.Total++
	u.report.LastRunUnixMicros = time.Now().UnixMicro()
	organisation := r.Header.Get(call.HeaderOrganisation)
	u.report.Organisations[organisation]++
	u.report.LastRunOf[organisation] = u.report.LastRunUnixMicros
	if id := r.Header.Get(HeaderTestID); id != "" {
		u.report.Runs[id]++
		u.writeJournal(id)
	}
	if hasKey {
		u.report.KeysSeen++
	}
	return u.behaviour
}

func (u *Upstream) writeJournal(id string) {
	if u.journal != nil {
		_, _ = io.WriteString(u.journal, id+"\n")
	}
}

// keyPattern matches a complete caller's key, in upper or lower case. The key's
// prefix alone also occurs by chance in random tokens.
var keyPattern = regexp.MustCompile("(?i)" + config.KeyPrefix + "[a-z2-7]{32}")

// containsKey reports whether the request's URL, body, headers or trailers
// contain a caller's key.
func containsKey(r *http.Request, body []byte) bool {
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
