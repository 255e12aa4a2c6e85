package operator

import (
	"context"
	"net/http"
	"net/url"
)

// PathQuarantine lists by GET, with the parameter service for one service
// only; DELETE of PathQuarantine/SERVICE/FINGERPRINT lifts a quarantine.
const PathQuarantine = "/api/quarantine"

// QuarantineRecord is a request that is suspected of crashing upstreams, or
// not run because it did.
type QuarantineRecord struct {
	// Fingerprint names the request's contents, in hexadecimal.
	Fingerprint string `json:"fingerprint"`
	// Kind is "suspect" or "quarantined".
	Kind         string `json:"kind"`
	Service      string `json:"service"`
	Organisation string `json:"organisation"`
	Route        string `json:"route"`
	// Crashes is the number of its runs in which an upstream crashed, on VMs.
	Crashes int      `json:"crashes"`
	VMs     []string `json:"vms"`
	// SinceSeconds is how long ago the first crash was; LeftSeconds is how
	// long the suspicion or quarantine still lasts.
	SinceSeconds float64 `json:"since_seconds"`
	LeftSeconds  float64 `json:"left_seconds"`
}

// QuarantineAnswer answers GET of PathQuarantine.
type QuarantineAnswer struct {
	Records []QuarantineRecord `json:"records"`
	// Unheard names the services of which no VM answered.
	Unheard []string `json:"unheard,omitempty"`
}

// LiftAnswer answers DELETE of PathQuarantine.
type LiftAnswer struct {
	Fingerprint string `json:"fingerprint"`
}

// Quarantine lists the suspects and quarantined requests of a service, or of
// all services if it is empty.
func (c *Client) Quarantine(ctx context.Context, service string) (*QuarantineAnswer, error) {
	answer := &QuarantineAnswer{}
	path := PathQuarantine + "?" + url.Values{"service": {service}}.Encode()
	return answer, c.call(ctx, http.MethodGet, path, nil, answer)
}

// LiftQuarantine lets the requests with the fingerprint run again.
func (c *Client) LiftQuarantine(ctx context.Context, service, fingerprint string) error {
	path := PathQuarantine + "/" + url.PathEscape(service) + "/" + url.PathEscape(fingerprint)
	return c.call(ctx, http.MethodDelete, path, nil, &LiftAnswer{})
}
