package operator

import (
	"context"
	"net/http"
	"net/url"
)

// PathQuarantine is the path of the quarantine API. GET lists the records,
// limited to one service by the query parameter service. DELETE of
// PathQuarantine/SERVICE/FINGERPRINT lifts a quarantine.
const PathQuarantine = "/api/quarantine"

// QuarantineRecord describes a request that is suspected of crashing upstreams,
// or quarantined because it crashed them.
type QuarantineRecord struct {
	// Fingerprint identifies the contents of the request, in hexadecimal.
	Fingerprint string `json:"fingerprint"`
	// Kind is "suspect" or "quarantined".
	Kind         string `json:"kind"`
	Service      string `json:"service"`
	Organisation string `json:"organisation"`
	Route        string `json:"route"`
	// Crashes is the number of runs of the request in which an upstream
	// crashed. VMs lists the VMs of these upstreams.
	Crashes int      `json:"crashes"`
	VMs     []string `json:"vms"`
	// SinceSeconds is the time since the first crash. LeftSeconds is the time
	// until the suspicion or quarantine expires.
	SinceSeconds float64 `json:"since_seconds"`
	LeftSeconds  float64 `json:"left_seconds"`
}

// QuarantineResponse is the response to GET PathQuarantine.
type QuarantineResponse struct {
	Records []QuarantineRecord `json:"records"`
	// Unheard lists the services of which no VM responded.
	Unheard []string `json:"unheard,omitempty"`
}

// LiftResponse is the response to DELETE PathQuarantine/SERVICE/FINGERPRINT.
type LiftResponse struct {
	Fingerprint string `json:"fingerprint"`
}

// Quarantine lists the suspected and quarantined requests of a service, or of
// all services if service is empty.
func (c *Client) Quarantine(ctx context.Context, service string) (*QuarantineResponse, error) {
	result := &QuarantineResponse{}
	path := PathQuarantine + "?" + url.Values{"service": {service}}.Encode()
	return result, c.call(ctx, http.MethodGet, path, nil, result)
}

// LiftQuarantine allows requests with the given fingerprint to run again.
func (c *Client) LiftQuarantine(ctx context.Context, service, fingerprint string) error {
	path := PathQuarantine + "/" + url.PathEscape(service) + "/" + url.PathEscape(fingerprint)
	return c.call(ctx, http.MethodDelete, path, nil, &LiftResponse{})
}
