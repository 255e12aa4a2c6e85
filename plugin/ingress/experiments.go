package ingress

import (
	"io"
	"net/http"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
)

// Experiments disable single guarantees, so that the bench can show that it
// detects their violation. Nodes that serve callers must set none of them.
type Experiments struct {
	// KeepKeys keeps callers' keys in the requests sent to upstreams.
	KeepKeys bool `json:"keep_keys"`
	// UncheckedKeys accepts any key as the first one of the document.
	UncheckedKeys bool `json:"unchecked_keys"`
	// UncheckedAnswers drops the length of answers and ends truncated ones as
	// if they were complete.
	UncheckedAnswers bool `json:"unchecked_answers"`
}

// key removes the key from the request and returns it. With KeepKeys it only
// returns it.
func (e *Experiments) key(r *http.Request) (string, bool) {
	if e.KeepKeys {
		r = r.Clone(r.Context())
	}
	return extractKey(r)
}

// lookupKey returns the key's entry in the document; nil if there is none.
func (e *Experiments) lookupKey(snapshot *config.Snapshot, key string) *config.Key {
	found := snapshot.KeyByHash(config.HashKey(key))
	if found == nil && e.UncheckedKeys && len(snapshot.Document.Keys) > 0 {
		return &snapshot.Document.Keys[0]
	}
	return found
}

// answer returns the reply and the body for the caller.
func (e *Experiments) answer(reply *call.Reply, body io.ReadCloser) (*call.Reply, io.ReadCloser) {
	if !e.UncheckedAnswers || body == nil {
		return reply, body
	}
	modified := *reply
	modified.Length, modified.Header = -1, nil
	return &modified, uncheckedBody{body}
}

// uncheckedBody reports io.EOF for any read error, so a truncated body looks
// complete.
type uncheckedBody struct{ io.ReadCloser }

// Read implements io.Reader.
func (b uncheckedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		err = io.EOF
	}
	return n, err
}
