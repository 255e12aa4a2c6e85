// Package call defines the types of a request on its way between nodes: its
// head, its reply, the outcome reported to the caller and the reason for a
// refusal.
package call

import (
	"net/http"
	"time"

	"github.com/mangomast/mangomast/retry"
)

// Outcome states whether a request ran.
type Outcome uint8

const (
	// Answered means that an upstream ran the request and answered.
	Answered Outcome = iota + 1
	// Refused means that the request did not run and will not run.
	Refused
	// Unknown means that the request may have run. It is not run again.
	Unknown
)

// String returns the outcome's value in the Mangomast-Outcome header.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case Refused:
		return "refused"
	default:
		return "unknown"
	}
}

// Code is the reason for an outcome other than Answered.
type Code uint8

// Reasons, in the order of the checks that produce them.
const (
	CodeNone Code = iota
	CodeBadRequest
	CodeUnauthenticated
	CodeForbidden
	CodeNoRoute
	CodeTooLarge
	CodeRateLimited
	CodeOverloaded
	CodeDeadline
	CodeNoUpstream
	CodeLeaving
	CodeConflict
	CodeQuarantined
	CodeStaleConfig
	CodeCancelled
	CodeConnectionLost
	CodeUpstreamFailed
	CodeStoreUnavailable
	CodeInternal
	// CodePinLost means that the node that may have run the request has
	// stopped.
	CodePinLost
	// CodeIDExpired means that the request's ID is too old to determine whether
	// the request ran.
	CodeIDExpired
	// CodeAnswerNotKept means that the request ran but its answer was not
	// retained.
	CodeAnswerNotKept
)

// CodeRetryBudget means that the request's retry budget is exhausted, or that
// retries to the service are throttled.
const CodeRetryBudget Code = 30

const (
	// CodeHeaderTooLarge means that the header exceeds the configured limit.
	CodeHeaderTooLarge Code = iota + 31
	// CodeSlowBody means that the caller took too long to send the body.
	CodeSlowBody
)

const (
	// CodeEvacuated means that the VM's failure domain is evacuated.
	CodeEvacuated Code = iota + 40
	// CodeForeignRegion means that the route or the organisation is bound to
	// regions and the VM is in none of them.
	CodeForeignRegion
)

type codeText struct {
	name   string
	status int
}

var codeTexts = [...]codeText{
	CodeNone:             {"none", http.StatusOK},
	CodeBadRequest:       {"bad_request", http.StatusBadRequest},
	CodeUnauthenticated:  {"unauthenticated", http.StatusUnauthorized},
	CodeForbidden:        {"forbidden", http.StatusForbidden},
	CodeNoRoute:          {"no_route", http.StatusNotFound},
	CodeTooLarge:         {"too_large", http.StatusRequestEntityTooLarge},
	CodeRateLimited:      {"rate_limited", http.StatusTooManyRequests},
	CodeOverloaded:       {"overloaded", http.StatusServiceUnavailable},
	CodeDeadline:         {"deadline", http.StatusGatewayTimeout},
	CodeNoUpstream:       {"no_upstream", http.StatusServiceUnavailable},
	CodeLeaving:          {"leaving", http.StatusServiceUnavailable},
	CodeConflict:         {"conflict", http.StatusUnprocessableEntity},
	CodeQuarantined:      {"quarantined", http.StatusServiceUnavailable},
	CodeStaleConfig:      {"stale_config", http.StatusServiceUnavailable},
	CodeCancelled:        {"cancelled", 499},
	CodeConnectionLost:   {"connection_lost", http.StatusBadGateway},
	CodeUpstreamFailed:   {"upstream_failed", http.StatusBadGateway},
	CodeStoreUnavailable: {"store_unavailable", http.StatusServiceUnavailable},
	CodeInternal:         {"internal", http.StatusInternalServerError},
	CodeRetryBudget:      {"retry_budget", http.StatusServiceUnavailable},
	CodeHeaderTooLarge:   {"header_too_large", http.StatusRequestHeaderFieldsTooLarge},
	CodeSlowBody:         {"slow_body", http.StatusRequestTimeout},
	CodePinLost:          {"pin_lost", http.StatusBadGateway},
	CodeIDExpired:        {"id_expired", http.StatusGone},
	CodeAnswerNotKept:    {"answer_not_kept", http.StatusGone},
	CodeEvacuated:        {"evacuated", http.StatusServiceUnavailable},
	CodeForeignRegion:    {"foreign_region", http.StatusServiceUnavailable},
}

// String returns the code's name as used in headers, logs and metrics.
func (c Code) String() string {
	if int(c) >= len(codeTexts) {
		return "internal"
	}
	return codeTexts[c].name
}

// HTTPStatus returns the HTTP status sent to callers.
func (c Code) HTTPStatus() int {
	if int(c) >= len(codeTexts) {
		return http.StatusInternalServerError
	}
	return codeTexts[c].status
}

// Pin identifies the only node incarnation that may run a non-idempotent
// request.
type Pin struct {
	VM          string `cbor:"1,keyasint,omitempty"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
}

// IsZero reports whether no node is pinned.
func (p Pin) IsZero() bool { return p.VM == "" }

// Field is one HTTP header field.
type Field struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// Head is a request without its body.
type Head struct {
	// ID identifies the request; all attempts share it. A call made by an
	// upstream has an ID of its own.
	ID string `cbor:"1,keyasint"`
	// Root is the ID of the caller's request at the top of the call tree.
	Root string `cbor:"2,keyasint"`
	// Organisation is the organisation whose key authenticated the root
	// request.
	Organisation string `cbor:"3,keyasint"`
	// Route is the ID of the route, and Service the service that serves it.
	Route   string `cbor:"4,keyasint"`
	Service string `cbor:"5,keyasint"`
	// Importance is set at the ingress for the whole call tree. Requests of
	// higher importance are shed later.
	Importance uint8 `cbor:"6,keyasint"`
	// Rank orders users within an importance. Users of higher rank are shed
	// later.
	Rank uint16 `cbor:"7,keyasint"`
	// Timeout is the time left until the deadline when the request was sent.
	Timeout time.Duration `cbor:"8,keyasint"`
	// RetryBudget is the number of retries left for this call and all calls
	// below it together.
	RetryBudget int `cbor:"9,keyasint"`
	// Idempotent requests may run more than once.
	Idempotent bool `cbor:"10,keyasint"`
	// Pin is set for non-idempotent requests.
	Pin Pin `cbor:"11,keyasint"`
	// Attempt is the number of the attempt, from 0.
	Attempt int `cbor:"12,keyasint"`
	// Depth is the depth in the call tree: 0 for a caller's request.
	Depth int `cbor:"13,keyasint"`
	// Method, Target (path and query) and Header are those of the HTTP request.
	Method string  `cbor:"14,keyasint"`
	Target string  `cbor:"15,keyasint"`
	Header []Field `cbor:"16,keyasint"`
	// Passed is the share of requests with this route, importance and
	// organisation that the ingress accepted; 0 if it accepted all.
	Passed float64 `cbor:"20,keyasint,omitempty"`
	// Host is the host name that the caller requested.
	Host string `cbor:"21,keyasint,omitempty"`
	// Origin is the service of the VM where the request entered.
	Origin string `cbor:"22,keyasint,omitempty"`
	// Key is the ID of the caller's key, and KeyRevision the stream revision at
	// which it was valid. Both are empty for calls made by upstreams.
	Key         string `cbor:"40,keyasint,omitempty"`
	KeyRevision int64  `cbor:"41,keyasint,omitempty"`
}

// Reply is the reply to a request without its body.
type Reply struct {
	Outcome Outcome `cbor:"1,keyasint"`
	// Code is the reason for a refusal or an unknown outcome.
	Code Code `cbor:"2,keyasint"`
	// Message is a human-readable explanation of the code.
	Message string `cbor:"3,keyasint,omitempty"`
	// RetryAfter is the time after which a refused request may be sent again; 0
	// for no advice.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	// Status, Header and Length are those of the HTTP response; Length is -1
	// if unknown.
	Status int     `cbor:"5,keyasint,omitempty"`
	Header []Field `cbor:"6,keyasint,omitempty"`
	Length int64   `cbor:"7,keyasint,omitempty"`
	// RetriesUsed is the number of retries used at and below the serving node.
	RetriesUsed int `cbor:"8,keyasint,omitempty"`
	// Load is the load of the serving node at the time of the reply.
	Load Load `cbor:"9,keyasint"`
	// Levels lists what the serving node and the services called below it
	// accept.
	Levels []Level `cbor:"20,keyasint,omitempty"`
	// Children is the number of calls that the upstream made for the request.
	Children int `cbor:"30,keyasint,omitempty"`
	// Detail explains the decision to operators. It is logged by the node where
	// the request entered and not sent to callers.
	Detail string `cbor:"32,keyasint,omitempty"`
	// CalleeCosts lists the calls that one run of the serving upstream causes
	// at other services. Only some replies carry it.
	CalleeCosts []retry.Cost `cbor:"31,keyasint,omitempty"`
	// Final means that the outcome for the request's ID is final: every further
	// request with the ID gets the same reply and runs nothing.
	Final bool `cbor:"60,keyasint,omitempty"`
}

// IsFinalStatus reports whether the status may be that of an answer. Interim statuses are
// not, and those below 100 or above 999 are no HTTP statuses.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= 999 }

// Load is the load that a serving node reports on each reply.
type Load struct {
	// Running and Queued count requests; Limit is the concurrency limit.
	Running int `cbor:"1,keyasint"`
	Queued  int `cbor:"2,keyasint"`
	Limit   int `cbor:"3,keyasint"`
	// MinImportance and MinRank are the lowest importance, and the lowest rank
	// within it, that is still accepted.
	MinImportance uint8  `cbor:"4,keyasint,omitempty"`
	MinRank       uint16 `cbor:"5,keyasint,omitempty"`
}

// UpstreamImportance is the importance of calls made by upstreams that do not
// inherit the importance of the request they serve. It is above that of all
// callers' requests, because a refused call wastes the work already done for
// the request that made it.
const UpstreamImportance uint8 = 200

// Refuse returns the reply to a request that did not run.
func Refuse(code Code, message string) *Reply {
	return &Reply{Outcome: Refused, Code: code, Message: message}
}

// UnknownOutcome returns the reply to a request that may have run.
func UnknownOutcome(code Code, message string) *Reply {
	return &Reply{Outcome: Unknown, Code: code, Message: message}
}

// FailedInNode returns the reply of a request whose handler panicked.
func FailedInNode() *Reply { return UnknownOutcome(CodeInternal, "the request failed in the node") }

// HeaderFields converts an HTTP header to a list of fields.
func HeaderFields(header http.Header) []Field {
	fields := make([]Field, 0, len(header))
	for name, values := range header {
		for _, value := range values {
			fields = append(fields, Field{Name: name, Value: value})
		}
	}
	return fields
}

// AddFields adds the fields to an HTTP header.
func AddFields(header http.Header, fields []Field) {
	for _, f := range fields {
		header.Add(f.Name, f.Value)
	}
}
