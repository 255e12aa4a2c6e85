package follower

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/dialect"
	"github.com/mangomast/mangomast/membership"
)

// undecodable fails the test when a document is decoded.
type undecodable struct {
	dialect.Documents
	t *testing.T
}

func (u undecodable) Decode([]byte) (dialect.Decoded, error) {
	u.t.Error("the document was decoded")
	return dialect.Decoded{}, nil
}

// TestDocumentInForceIsNotDecodedAgain applies a document that is in force, as when
// the store and a peer send the same one.
func TestDocumentInForceIsNotDecodedAgain(t *testing.T) {
	m := &Module{documents: undecodable{t: t}, raw: document{Version: 2, Value: []byte("two")}}
	m.apply([]byte("two"), fromStore)
}

// TestPullWaitsForTheDocumentBeingApplied announces a version that is being decoded.
// It must not be pulled: a pull would fail the test, because there is no mesh.
func TestPullWaitsForTheDocumentBeingApplied(t *testing.T) {
	m := &Module{}
	m.applying.Lock()
	m.pullIfNewer(membership.Entry{VM: "peer", ConfigRevision: 2})
	time.Sleep(10 * time.Millisecond)
	assert.Assert(t, m.pulling.Load())
	m.current.Store(config.NewSnapshot(&config.Document{}, 2))
	m.applying.Unlock()
	for started := time.Now(); m.pulling.Load(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(started) < 5*time.Second)
	}
}
