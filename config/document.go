// Package config defines the configuration document that operators edit, its
// validation, and the compiled Snapshot that nodes use to serve requests.
package config

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/jsonc"
)

// Document is the whole configuration. Its JSON names are the fields that
// operators edit.
type Document struct {
	Organisations []Organisation  `json:"organisations,omitempty"`
	Keys          []Key           `json:"keys,omitempty"`
	Services      []Service       `json:"services,omitempty"`
	Routes        []Route         `json:"routes,omitempty"`
	Domains       []FailureDomain `json:"failure_domains,omitempty"`
	Operators     []Operator      `json:"operators,omitempty"`
	// Limits bounds the requests and connections of callers. If nil, the
	// node's own limits apply.
	Limits *Limits `json:"limits,omitempty"`
	// Change identifies the write that created this version. It is set by the
	// editor, not by operators.
	Change Change `json:"change,omitzero"`
}

// RecentChanges is the maximum number of earlier change IDs in a document.
const RecentChanges = 64

// Change identifies a version of a document.
type Change struct {
	// Number increases by one with each change.
	Number uint64 `json:"number,omitempty"`
	// ID is unique to the write. Recent lists the IDs of the writes before it,
	// newest first, so that a writer that got no response from the store can
	// find out whether its change was committed.
	ID     string   `json:"id,omitempty"`
	Recent []string `json:"recent,omitempty"`
}

// Operator is a person or program that may change the configuration.
type Operator struct {
	// ID identifies the operator in the change history.
	ID string `json:"id"`
	// Hash is the SHA-256 of the operator's token in hexadecimal.
	Hash string `json:"hash"`
}

// Organisation is a customer that is entitled to a share of the fleet's
// capacity.
type Organisation struct {
	// ID is the organisation's unique name: 1 to 63 of a-z, 0-9, '.', '_', '-'.
	ID string `json:"id"`
	// Name is the display name.
	Name string `json:"name,omitempty"`
	// Weight is the organisation's share of the capacity under overload,
	// relative to other organisations.
	Weight float64 `json:"weight"`
	// Rate is the rate limit in requests per second, over all VMs together.
	Rate float64 `json:"rate"`
	// Burst is the number of requests that may exceed the rate at once.
	Burst float64 `json:"burst"`
	// ServeWhenCutOff is how long a region without fresh configuration
	// continues to serve the organisation.
	ServeWhenCutOff jsonc.Duration `json:"serve_when_cut_off,omitempty"`
	// Importance takes precedence over the importance of the route: 1 (shed
	// first) to 9 (shed last). Requests with importance 0 are shed before all
	// of these.
	Importance uint8 `json:"importance,omitempty"`
	// Suspended makes nodes refuse the organisation's requests.
	Suspended bool `json:"suspended,omitempty"`
	// Regions are the regions in which the organisation's requests may run; all
	// if empty. Regions of the route bind as well.
	Regions []string `json:"regions,omitempty"`
}

// Limits bounds the requests and connections of callers.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of a request's header
	// and body.
	HeaderBytes int64 `json:"header_bytes"`
	BodyBytes   int64 `json:"body_bytes"`
	// HeaderTimeout is how long a caller may take to send a header.
	HeaderTimeout jsonc.Duration `json:"header_timeout"`
	// IdleTimeout is how long a connection may stay idle.
	IdleTimeout jsonc.Duration `json:"idle_timeout"`
}

// Key is a caller's credential. Only its hash is stored.
type Key struct {
	ID           string `json:"id"`
	Organisation string `json:"organisation"`
	// Hash is the SHA-256 of the key in hexadecimal.
	Hash string `json:"hash"`
	Note string `json:"note,omitempty"`
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	ID string `json:"id"`
	// Connections is the maximum number of connections to one upstream from
	// all callers. 0 means the number that the upstream announces.
	Connections int `json:"connections,omitempty"`
	// ColdRate is how many requests a second a cold VM bears; 0 for no limit.
	ColdRate float64 `json:"cold_rate,omitempty"`
	// ColdStart is how long a VM is cold after its start.
	ColdStart jsonc.Duration `json:"cold_start,omitempty"`
	// HealthPath is the path of the upstreams' health answers; empty if there are
	// none.
	HealthPath string `json:"health_path,omitempty"`
}

// AllOrganisations is the OpenTo value of a route that is open to all
// organisations.
const AllOrganisations = "all"

// Split sends a part of a route's requests to a service.
type Split struct {
	Service string `json:"service"`
	// Weight is relative to the weights of the route's other splits.
	Weight float64 `json:"weight"`
}

// Route maps requests to a service.
type Route struct {
	ID string `json:"id"`
	// Host is the host name to match; empty matches any host.
	Host string `json:"host,omitempty"`
	// Method is the HTTP method to match; "*" matches any method.
	Method string `json:"method"`
	// Path is matched exactly, or as a prefix if it ends in "/".
	Path    string `json:"path"`
	Service string `json:"service"`
	// Split distributes the requests over several services by weight. It takes
	// precedence over Service, which is one of them.
	Split []Split `json:"split,omitempty"`
	// Keyless routes also serve requests without a key.
	Keyless bool `json:"keyless,omitempty"`
	// Attempts is the maximum number of upstreams that one request is sent to.
	// If 0, only the retry budget limits the attempts.
	Attempts int `json:"attempts,omitempty"`
	// Objective is the latency objective: a response within it has its full
	// value. 0 means the deadline.
	Objective jsonc.Duration `json:"objective,omitempty"`
	// Idempotent requests may run more than once.
	Idempotent bool `json:"idempotent"`
	// Unavailable routes refuse their requests, because the rest of the route is
	// invalid. Prune sets it; operators cannot.
	Unavailable bool `json:"-"`
	// OpenTo lists the organisations that may use the route, or only "all".
	OpenTo []string `json:"open_to"`
	// Internal routes serve only calls from upstreams, never from callers.
	Internal bool `json:"internal,omitempty"`
	// Importance is 1 (shed first) to 9 (shed last).
	Importance uint8 `json:"importance"`
	// Deadline is the maximum time until the response is complete.
	Deadline jsonc.Duration `json:"deadline"`
	// RetryBudget is the maximum number of retries for one request over the
	// whole call chain.
	RetryBudget int `json:"retry_budget"`
	// MaxRequestBytes and MaxAnswerBytes limit the sizes of the request and
	// response bodies.
	MaxRequestBytes int64 `json:"max_request_bytes"`
	MaxAnswerBytes  int64 `json:"max_answer_bytes"`
	// Regions are the regions in which the route's requests may run; all if
	// empty. Regions of the organisation bind as well.
	Regions []string `json:"regions,omitempty"`
}

// FailureDomain is a set of VMs that may fail together.
type FailureDomain struct {
	ID     string `json:"id"`
	Region string `json:"region"`
	// Weight is the domain's voting weight in a majority; 1 if absent.
	Weight int `json:"weight,omitempty"`
}

// Parse decodes and validates a document in JSON with comments. It returns all
// findings together as *finding.Error.
func Parse(file string, data []byte) (*Document, error) {
	findings := &finding.List{File: file}
	doc := &Document{}
	jsonc.Decode(data, doc, findings)
	if err := findings.Err(); err != nil {
		return nil, err
	}
	doc.Validate(findings)
	return doc, findings.Err()
}

// Encode returns the document as JSON.
func (d *Document) Encode() ([]byte, error) {
	data, err := json.MarshalIndent(d, "", "  ")
	return data, errors.Wrap(err, "encode document")
}

// Clone returns a deep copy.
func (d *Document) Clone() (*Document, error) {
	data, err := d.Encode()
	if err != nil {
		return nil, err
	}
	copied := &Document{}
	return copied, errors.Wrap(json.Unmarshal(data, copied), "copy document")
}

// StreamPrefix is the prefix of the keys whose changes form the revision
// stream. It follows the store's prefix.
const StreamPrefix = "config/"

// DocumentKey is the store key of the document's Head, after the store's
// prefix.
const DocumentKey = "config/document"
