package operator

import (
	"context"
	"net/http"
	"net/url"
)

// PathQuarantine lists by GET with the parameter service; DELETE of
// PathQuarantine/SERVICE/FINGERPRINT lifts a quarantine.
const PathQuarantine = "/api/quarantine"

// QuarantineRecord is a request that is suspected of crashing upstreams, or
// not run because it did.
type QuarantineRecord struct {
	// Fingerprint names the request's contents, in hexadecimal.
	Fingerprint string `json:"fingerprint"`
	// Kind is "suspect" or "quarantined".
	Kind string `json:"kind"`
	// VM is where the upstream crashed.
	VM           string  `json:"vm"`
	Organisation string  `json:"organisation"`
	Route        string  `json:"route"`
	AgeSeconds   float64 `json:"age_seconds"`
}

// LiftAnswer answers DELETE of PathQuarantine.
type LiftAnswer struct {
	Fingerprint string `json:"fingerprint"`
}

// Quarantine lists the suspects and quarantined requests of a service.
func (c *Client) Quarantine(ctx context.Context, service string) ([]QuarantineRecord, error) {
	var records []QuarantineRecord
	path := PathQuarantine + "?" + url.Values{"service": {service}}.Encode()
	return records, c.call(ctx, http.MethodGet, path, nil, &records)
}

// LiftQuarantine lets the requests with the fingerprint run again.
func (c *Client) LiftQuarantine(ctx context.Context, service, fingerprint string) error {
	path := PathQuarantine + "/" + url.PathEscape(service) + "/" + url.PathEscape(fingerprint)
	return c.call(ctx, http.MethodDelete, path, nil, &LiftAnswer{})
}
