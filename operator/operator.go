// Package operator defines the operator API: its messages, paths and client,
// and the authentication of operators. Every node serves the API on its admin
// listener.
package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/edit"
	"github.com/mangomast/mangomast/finding"
)

// Paths of the API.
const (
	PathDocument = "/api/document"
	PathChanges  = "/api/changes"
	PathHistory  = "/api/history"
	PathMerge    = "/api/merge"
	PathUndo     = "/api/undo"
	PathKeys     = "/api/keys"
	PathProgress = "/api/progress"
	PathStatus   = "/api/status"
)

// SessionCookie is the name of the cookie with an operator's console session.
// Browsers send it to all ports of a node's IP address, so the callers' listener
// removes it from requests.
const SessionCookie = "mangomast_operator"

// TokenPrefix is the prefix of operator tokens.
const TokenPrefix = "mmop_"

// DocumentResponse is the response to GET PathDocument.
type DocumentResponse struct {
	Revision int64            `json:"revision"`
	Document *config.Document `json:"document"`
}

// ChangeRequest is the body of POST PathChanges, which commits edits.
type ChangeRequest struct {
	// ID makes the request idempotent.
	ID    string      `json:"id,omitempty"`
	Note  string      `json:"note,omitempty"`
	Edits []edit.Edit `json:"edits"`
}

// MergeRequest is the body of POST PathMerge, which returns the edits that a
// complete document makes to the version that it is based on.
type MergeRequest struct {
	Document *config.Document `json:"document"`
}

// MergeResponse is the response to a MergeRequest.
type MergeResponse struct {
	Edits []edit.Edit `json:"edits"`
}

// UndoRequest is the body of POST PathUndo, which reverts a past change.
type UndoRequest struct {
	// ID makes the request idempotent.
	ID     string `json:"id,omitempty"`
	Number uint64 `json:"number"`
}

// Progress reports on how many VMs a revision is in force.
type Progress struct {
	Revision int64 `json:"revision"`
	// Accepted is true once the revision is in force on every VM that serves
	// requests.
	Accepted bool `json:"accepted"`
	// InForce is the number of VMs, out of Total, that have the revision or a
	// later one.
	InForce int `json:"in_force"`
	Total   int `json:"total"`
	// Waiting lists the VMs that do not have the revision yet, followed by
	// descriptions of anything else that its acceptance is waiting for.
	Waiting []string `json:"waiting,omitempty"`
}

// Problem is the body of an error response.
type Problem struct {
	Message   string            `json:"message"`
	Findings  []finding.Finding `json:"findings,omitempty"`
	Conflicts []edit.Conflict   `json:"conflicts,omitempty"`
	// Unchanged is true if the document already has the requested values.
	Unchanged bool `json:"unchanged,omitempty"`
}

// OutcomeUnknownError is returned if it is not known whether a change was
// committed.
type OutcomeUnknownError struct {
	Message string
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return e.Message + "; the change may or may not have been made: look at 'mangomast history'"
}

// NewToken returns a new operator token and the hash that is stored in its
// place.
func NewToken() (token, hash string) {
	token = TokenPrefix + strings.TrimPrefix(config.NewKey(), config.KeyPrefix)
	return token, HashToken(token)
}

// HashToken returns the hash that is stored in place of a token.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns the operator whose token hashes to the given hash.
func Authenticate(operators []config.Operator, hash string) (config.Operator, bool) {
	for _, o := range operators {
		if subtle.ConstantTimeCompare([]byte(strings.ToLower(o.Hash)), []byte(hash)) == 1 {
			return o, true
		}
	}
	return config.Operator{}, false
}
