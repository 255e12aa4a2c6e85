// Package operator has the operators' API: its messages, its paths, its
// client, and the check of operators' credentials. Every node serves it on its
// admin listener.
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

// SessionCookie holds a signed-in operator's session with the console. Browsers
// send it to all ports of a node's IP number, so the callers' side drops it.
const SessionCookie = "mangomast_operator"

// TokenPrefix starts each operator's token.
const TokenPrefix = "mmop_"

// DocumentAnswer answers GET PathDocument.
type DocumentAnswer struct {
	Revision int64            `json:"revision"`
	Document *config.Document `json:"document"`
}

// ChangeRequest asks for a change by POST to PathChanges.
type ChangeRequest struct {
	// ID makes the request safe to send twice.
	ID    string      `json:"id,omitempty"`
	Note  string      `json:"note,omitempty"`
	Edits []edit.Edit `json:"edits"`
}

// MergeRequest asks for the edits that a whole document amounts to.
type MergeRequest struct {
	Document *config.Document `json:"document"`
}

// MergeAnswer answers a MergeRequest.
type MergeAnswer struct {
	Edits []edit.Edit `json:"edits"`
}

// UndoRequest asks to take a change back by POST to PathUndo.
type UndoRequest struct {
	// ID makes the request safe to send twice.
	ID     string `json:"id,omitempty"`
	Number uint64 `json:"number"`
}

// Progress says how far a revision has come into force.
type Progress struct {
	Revision int64 `json:"revision"`
	// Accepted is true once the revision is in force on every VM that serves.
	Accepted bool `json:"accepted"`
	// InForce of Total VMs have the revision or a later one.
	InForce int `json:"in_force"`
	Total   int `json:"total"`
	// Waiting names the other VMs.
	Waiting []string `json:"waiting,omitempty"`
}

// Problem is the body of an answer that is not a success.
type Problem struct {
	Message   string            `json:"message"`
	Findings  []finding.Finding `json:"findings,omitempty"`
	Conflicts []edit.Conflict   `json:"conflicts,omitempty"`
	// Unchanged is true if the document is already as it was asked for.
	Unchanged bool `json:"unchanged,omitempty"`
}

// OutcomeUnknownError means that a change may or may not have been made.
type OutcomeUnknownError struct {
	Message string
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return e.Message + "; the change may or may not have been made: look at 'mangomast history'"
}

// NewToken returns an operator's token and the hash under which it is kept.
func NewToken() (token, hash string) {
	token = TokenPrefix + strings.TrimPrefix(config.NewKey(), config.KeyPrefix)
	return token, HashToken(token)
}

// HashToken returns the hash under which a token is kept.
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
