package standin

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// PathReport reads an upstream's Report; PathBehaviour sets its Behaviour;
// PathLeave makes it announce that it is leaving.
const (
	PathReport    = "/standin/report"
	PathBehaviour = "/standin/behaviour"
	PathLeave     = "/standin/leave"
)

// HeaderTestID is the header with a request's ID in the upstream's report.
const HeaderTestID = "X-Test-Id"

// Behaviour configures how an upstream serves requests.
type Behaviour struct {
	// WorkMicros is the mean time for which a request occupies a slot, without
	// calls.
	WorkMicros int `json:"work_us"`
	// Jitter is the maximum relative deviation of the work time, 0 to 1.
	Jitter float64 `json:"jitter"`
	// FailPercent is the percentage of requests that fail with status 500.
	FailPercent int `json:"fail_percent"`
	// FailLate makes them fail after the calls to Callees instead of before.
	FailLate bool `json:"fail_late"`
	// Abort makes failures close the connection without a response.
	Abort bool `json:"abort"`
	// Callees are the targets that the upstream calls in sequence for each
	// request.
	// A target is a path on the node's egress, or several URLs separated by
	// spaces, one of which is chosen at random for each attempt.
	Callees []string `json:"next"`
	// ChildTimeoutMicros is the timeout of each attempt of a call; 0 for no
	// timeout besides that of the request.
	ChildTimeoutMicros int `json:"child_timeout_us"`
	// ColdMillis is the warm-up time after the upstream's start, in which work
	// takes longer: at first ColdFactor times as long, falling linearly to 1.
	ColdMillis int     `json:"cold_ms"`
	ColdFactor float64 `json:"cold_factor"`
	// AnnouncedHealth and AnnouncedLoad are the health and load that the
	// upstream announces. They need not match its actual state.
	AnnouncedHealth string  `json:"says_health"`
	AnnouncedLoad   float64 `json:"says_load"`
	// ChildRetries is the maximum number of times that the upstream itself
	// retries a failed call.
	ChildRetries int `json:"child_retries"`
}

// UpstreamOptions are the inputs of NewUpstream.
type UpstreamOptions struct {
	// Slots is the maximum number of concurrent requests; others wait.
	Slots int
	// Egress is the base URL of the node's loopback listener.
	Egress    string
	Behaviour Behaviour
	// Journal receives a line with the test ID of each run before the run
	// starts, so that runs of an upstream that crashes are recorded too. It may
	// be nil.
	Journal io.Writer
	// Leave is called for requests to PathLeave.
	Leave func()
	// Crash is called for a request with crash=1 in its query.
	Crash func()
}

// Upstream is a fake of a service's program on one VM.
type Upstream struct {
	started time.Time
	slots   chan struct{}
	egress  string
	crash   func()
	leave   func()
	client  *http.Client
	// journal is guarded by mu.
	journal io.Writer

	mu        sync.Mutex
	behaviour Behaviour
	report    Report
}

// NewUpstream returns an upstream.
func NewUpstream(opts UpstreamOptions) *Upstream {
	return &Upstream{
		started:   time.Now(),
		slots:     make(chan struct{}, opts.Slots),
		egress:    opts.Egress,
		crash:     opts.Crash,
		leave:     opts.Leave,
		journal:   opts.Journal,
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: opts.Slots}},
		behaviour: opts.Behaviour,
		report:    Report{Runs: map[string]int{}, BusyByID: map[string]int64{}, Organisations: map[string]int{}, LastRunOf: map[string]int64{}},
	}
}

// ServeHTTP implements http.Handler. The query parameter bytes sets the length
// of the response body; chunked=1 omits the Content-Length header.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case PathReport:
		u.mu.Lock()
		defer u.mu.Unlock()
		writeJSON(w, u.report)
	case PathBehaviour:
		u.serveBehaviour(w, r)
	case PathLeave:
		u.leave()
	default:
		u.serveWork(w, r)
	}
}

func (u *Upstream) serveBehaviour(w http.ResponseWriter, r *http.Request) {
	var b Behaviour
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.behaviour = b
	writeJSON(w, b)
}

func (u *Upstream) serveWork(w http.ResponseWriter, r *http.Request) {
	select {
	case u.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-u.slots }()
	body, _ := io.ReadAll(r.Body)
	behaviour := u.recordRun(r, body)
	if r.URL.Query().Get("crash") == "1" && u.crash != nil {
		u.crash()
	}
	u.simulateWork(r, behaviour)
	fails := rand.IntN(100) < behaviour.FailPercent
	if fails && !behaviour.FailLate {
		u.fail(w, behaviour, http.StatusInternalServerError, "the upstream failed on purpose")
		return
	}
	for _, target := range behaviour.Callees {
		if err := u.callWithRetries(r, target, behaviour); err != nil {
			u.fail(w, behaviour, http.StatusBadGateway, err.Error())
			return
		}
	}
	if fails {
		u.fail(w, behaviour, http.StatusInternalServerError, "the upstream failed on purpose")
		return
	}
	u.writeAnswer(w, r)
}

// coldStartFactor returns the factor on the work time for the time since the
// upstream's start.
func (b Behaviour) coldStartFactor(age time.Duration) float64 {
	remaining := 1 - age.Seconds()*1000/float64(max(1, b.ColdMillis))
	return 1 + max(0, remaining)*max(0, b.ColdFactor-1)
}

// simulateWork waits for the work time, or until the request is cancelled.
func (u *Upstream) simulateWork(r *http.Request, b Behaviour) {
	started := time.Now()
	factor := (1 + b.Jitter*(2*rand.Float64()-1)) * b.coldStartFactor(started.Sub(u.started))
	timer := time.NewTimer(time.Duration(float64(b.WorkMicros)*factor) * time.Microsecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
	busy := time.Since(started).Microseconds()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.report.BusyMicros += busy
	if id := r.Header.Get(HeaderTestID); id != "" {
		u.report.BusyByID[id] += busy
	}
}

func (u *Upstream) fail(w http.ResponseWriter, b Behaviour, status int, message string) {
	u.mu.Lock()
	u.report.Failed++
	u.mu.Unlock()
	if b.Abort {
		panic(http.ErrAbortHandler)
	}
	http.Error(w, message, status)
}

func (u *Upstream) writeAnswer(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	size, _ := strconv.Atoi(query.Get("bytes"))
	if query.Get("chunked") != "1" {
		w.Header().Set("Content-Length", strconv.Itoa(size))
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(Payload(r.Header.Get(HeaderTestID), size))
}

// Payload returns the response body of the given size for a test ID. The same
// arguments give the same body.
func Payload(id string, size int) []byte {
	var seed [32]byte
	copy(seed[:], id)
	source := rand.NewChaCha8(seed)
	data := make([]byte, size)
	_, _ = source.Read(data)
	return data
}
