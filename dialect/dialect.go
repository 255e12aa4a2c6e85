// Package dialect defines the interfaces that hide a platform's conventions
// from the data path: how callers pass a request ID and a deadline, which
// headers are exchanged with upstreams, and how the configuration is encoded.
// An adapter implements them, so that the data path is independent of header
// names and document formats.
package dialect

import (
	"net/http"
	"time"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/finding"
)

// Caller is the information about the caller in a request's header.
type Caller struct {
	// ID is the request ID; empty if the caller sent none.
	ID string
	// Timeout is how long the caller waits for the response; 0 if the header
	// has no deadline.
	Timeout time.Duration
	// Key is the caller's API key; HasKey is false if the header has none.
	Key    string
	HasKey bool
}

// Callers parses requests from callers, including upstreams that call other
// services, and sets headers of responses to them.
type Callers interface {
	// Extract parses the caller's information from the header. It removes the
	// key and all headers that only the node may set.
	Extract(header http.Header) (Caller, error)
	// SetRetryAfter sets the delay after which a refused caller may retry.
	SetRetryAfter(header http.Header, delay time.Duration)
}

// Verdict classifies an upstream's response to a request.
type Verdict int

const (
	// Executed means that the upstream ran the request and this is its response.
	Executed Verdict = iota
	// Declined means that the upstream did not run the request.
	Declined
	// Misdirected means that a different upstream incarnation now has the
	// address and did not run the request.
	Misdirected
	// MismatchedID means that the response belongs to a different request.
	MismatchedID
)

// Upstreams sets the headers of requests to upstreams and interprets their
// responses.
type Upstreams interface {
	// SetHeaders sets the headers that describe the request to the upstream;
	// instance is the upstream incarnation that the request is sent to.
	SetHeaders(header http.Header, head *call.Head, instance string)
	// Classify classifies the upstream's response to the request. attributed is true
	// if the response names the request. A response that does not may be a late copy
	// of an earlier one, unless its connection has carried no other request since.
	Classify(head *call.Head, resp *http.Response) (verdict Verdict, attributed bool)
	// ReadHealth reads an upstream's answer to a question about its health.
	ReadHealth(resp *http.Response) Health
}

// Health is an upstream's answer to a question about its health.
type Health struct {
	// Instance is the incarnation that answered; empty if the answer does not tell.
	Instance string
	// Cold is how much longer the upstream stays cold; it is valid if TellsCold.
	Cold      time.Duration
	TellsCold bool
}

// Documents locates and decodes the configuration in the store.
type Documents interface {
	// Key is the full store key of the document.
	Key() string
	// Decode decodes the document. Invalid parts are left out; it fails only if
	// the document as a whole or its version cannot be read.
	Decode(value []byte) (Decoded, error)
}

// Evacuations locates the operators' requests to evacuate failure domains in the
// store. A failure domain is evacuated while its key exists, whatever the value is.
type Evacuations interface {
	// Prefix is the prefix of the keys of all evacuations and of Documents.Key, so
	// that one read or watch covers them all.
	Prefix() string
	// Domain returns the failure domain that a key evacuates; ok is false for any
	// other key.
	Domain(key string) (domain string, ok bool)
}

// Decoded is a configuration document that was read from the store.
type Decoded struct {
	// Document is valid.
	Document *config.Document
	// Version increases with each change of the document.
	Version int64
	// Findings describe the parts that were left out of Document.
	Findings []finding.Finding
}
