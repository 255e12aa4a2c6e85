package ingress

import (
	"io"
	"net/http"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
)

// Experiments switch single promises off, so that the bench can show that it
// would notice. A node that serves callers sets none of them.
type Experiments struct {
	// KeepKeys leaves callers' keys in the requests that upstreams get.
	KeepKeys bool `json:"keep_keys"`
	// UncheckedKeys takes any key for the first one of the document.
	UncheckedKeys bool `json:"unchecked_keys"`
	// UncheckedAnswers gives answers without their length, and ends those that
	// break off as if they were whole.
	UncheckedAnswers bool `json:"unchecked_answers"`
}

// key takes the key off the request, or finds it and leaves it there.
func (e *Experiments) key(r *http.Request) (string, bool) {
	if e.KeepKeys {
		r = r.Clone(r.Context())
	}
	return takeKey(r)
}

// known returns the key's entry in the document; nil if there is none.
func (e *Experiments) known(snapshot *config.Snapshot, key string) *config.Key {
	found := snapshot.KeyByHash(config.HashKey(key))
	if found == nil && e.UncheckedKeys && len(snapshot.Document.Keys) > 0 {
		return &snapshot.Document.Keys[0]
	}
	return found
}

// answer returns what the caller is given.
func (e *Experiments) answer(reply *call.Reply, body io.ReadCloser) (*call.Reply, io.ReadCloser) {
	if !e.UncheckedAnswers || body == nil {
		return reply, body
	}
	unsized := *reply
	unsized.Length, unsized.Header = -1, nil
	return &unsized, uncheckedBody{body}
}

// uncheckedBody ends like a whole body when it breaks off.
type uncheckedBody struct{ io.ReadCloser }

// Read implements io.Reader.
func (b uncheckedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		err = io.EOF
	}
	return n, err
}
