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

// HeaderTestID names a request in the upstream's report.
const HeaderTestID = "X-Test-Id"

// Behaviour says how an upstream serves requests.
type Behaviour struct {
	// WorkMicros is the time that a slot is held for one request.
	WorkMicros int `json:"work_us"`
	// Jitter spreads the work time by this share, 0 to 1.
	Jitter float64 `json:"jitter"`
	// FailPercent of the requests are answered with status 500.
	FailPercent int `json:"fail_percent"`
	// FailLate makes them fail after their calls to Next, not before.
	FailLate bool `json:"fail_late"`
	// Abort makes failures break the connection instead of answering.
	Abort bool `json:"abort"`
	// Next are the targets that the upstream calls, in order, for each request.
	// A target is a path at the node's egress, or several URLs separated by
	// spaces, of which one is chosen at random for each try.
	Next []string `json:"next"`
	// ChildTimeoutMicros bounds each try of a call; 0 for no bound of its own.
	ChildTimeoutMicros int `json:"child_timeout_us"`
	// ColdMillis is the time after its start in which the upstream is slower,
	// at first by ColdFactor, then less and less.
	ColdMillis int     `json:"cold_ms"`
	ColdFactor float64 `json:"cold_factor"`
	// SaysHealth and SaysLoad are what the upstream announces of itself; they
	// need not be true.
	SaysHealth string  `json:"says_health"`
	SaysLoad   float64 `json:"says_load"`
	// ChildRetries is the number of times a failed call is sent again by the
	// upstream itself.
	ChildRetries int `json:"child_retries"`
}

// UpstreamOptions are the inputs of NewUpstream.
type UpstreamOptions struct {
	// Slots is the number of requests that run at once; others wait.
	Slots int
	// Egress is the base URL of the node's loopback listener.
	Egress    string
	Behaviour Behaviour
	// Journal gets a line with the test ID of each run before it starts; it
	// outlives the upstream. It may be nil.
	Journal io.Writer
	// Leave is called for PathLeave.
	Leave func()
	// Crash is called for a request with crash=1 in its query.
	Crash func()
}

// Upstream is a stand-in for a service's program on one VM.
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

// NewUpstream returns an upstream; it is an http.Handler.
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

// ServeHTTP implements http.Handler. The query parameter bytes asks for an
// answer of that length; chunked=1 leaves its length out.
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
	behaviour := u.begin(r, body)
	if r.URL.Query().Get("crash") == "1" && u.crash != nil {
		u.crash()
	}
	u.work(r, behaviour)
	fails := rand.IntN(100) < behaviour.FailPercent
	if fails && !behaviour.FailLate {
		u.fail(w, behaviour, http.StatusInternalServerError, "the upstream failed on purpose")
		return
	}
	for _, next := range behaviour.Next {
		if err := u.call(r, next, behaviour); err != nil {
			u.fail(w, behaviour, http.StatusBadGateway, err.Error())
			return
		}
	}
	if fails {
		u.fail(w, behaviour, http.StatusInternalServerError, "the upstream failed on purpose")
		return
	}
	u.answer(w, r)
}

// coldness returns the factor on the work time at an age of the upstream.
func (b Behaviour) coldness(age time.Duration) float64 {
	left := 1 - age.Seconds()*1000/float64(max(1, b.ColdMillis))
	return 1 + max(0, left)*max(0, b.ColdFactor-1)
}

// work holds the slot for the work time, or until the request is cancelled.
func (u *Upstream) work(r *http.Request, b Behaviour) {
	started := time.Now()
	spread := (1 + b.Jitter*(2*rand.Float64()-1)) * b.coldness(started.Sub(u.started))
	timer := time.NewTimer(time.Duration(float64(b.WorkMicros)*spread) * time.Microsecond)
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

func (u *Upstream) answer(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	size, _ := strconv.Atoi(query.Get("bytes"))
	if query.Get("chunked") != "1" {
		w.Header().Set("Content-Length", strconv.Itoa(size))
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(Payload(r.Header.Get(HeaderTestID), size))
}

// Payload returns the answer of the given size that belongs to a test ID.
func Payload(id string, size int) []byte {
	var seed [32]byte
	copy(seed[:], id)
	source := rand.NewChaCha8(seed)
	data := make([]byte, size)
	_, _ = source.Read(data)
	return data
}
