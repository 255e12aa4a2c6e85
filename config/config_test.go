package config

import (
	"testing"

	"gotest.tools/v3/assert"
)

const validDocument = `{
  "organisations": [{"id": "beach", "weight": 1, "rate": 5, "burst": 10}],
  "keys": [{"id": "k1", "organisation": "beach", "hash": "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"}],
  "services": [{"id": "fares"}],
  "routes": [
    {"id": "quote", "method": "GET", "path": "/fares/", "service": "fares", "idempotent": true, "open_to": ["all"],
     "importance": 5, "deadline": "2s", "retry_budget": 2, "max_request_bytes": 1000, "max_answer_bytes": 1000},
    {"id": "charge", "method": "POST", "path": "/fares/charge", "service": "fares", "idempotent": false, "open_to": ["beach"],
     "importance": 9, "deadline": "2s", "retry_budget": 0, "max_request_bytes": 1000, "max_answer_bytes": 1000},
  ],
  "failure_domains": [{"id": "riga-a", "region": "riga", "weight": 2}],
}`

func TestSnapshotLookups(t *testing.T) {
	doc, err := Parse("doc.json", []byte(validDocument))
	assert.NilError(t, err)
	s := NewSnapshot(doc, 7)
	assert.Equal(t, s.KeyByHash(HashKey("foo")).Organisation, "beach")
	assert.Equal(t, s.Route("api.example", "POST", "/fares/charge").ID, "charge")
	assert.Equal(t, s.Route("api.example", "GET", "/fares/charge").ID, "quote")
	assert.Assert(t, s.Route("api.example", "POST", "/fares/quote") == nil)
	assert.Assert(t, s.Route("api.example", "GET", "/fares/x").Allows("anyone"))
	assert.Assert(t, !s.Route("api.example", "POST", "/fares/charge").Allows("anyone"))
}

func TestParseReportsEveryFinding(t *testing.T) {
	_, err := Parse("doc.json", []byte(`{
  "organisations": [{"id": "all", "weight": 0, "rate": -1, "burst": 0}],
  "keys": [{"id": "k", "organisation": "nobody", "hash": "ab"}],
  "routes": [{"id": "r", "method": "get", "path": "x", "service": "none", "open_to": [], "importance": 0, "deadline": "2h", "retry_budget": 99, "max_answer_bytes": 0}],
}`))
	for _, part := range []string{
		"/organisations/0/id", "/organisations/0/weight", "/organisations/0/rate", "/organisations/0/burst",
		"/keys/0/organisation", "/keys/0/hash", "doc.json:4:", "/routes/0/method", "/routes/0/path", "/routes/0/service",
		"/routes/0/open_to", "/routes/0/importance", "/routes/0/deadline", "/routes/0/retry_budget", "/routes/0/max_answer_bytes",
	} {
		assert.ErrorContains(t, err, part)
	}
}

func TestNewKeyIsLongAndRandom(t *testing.T) {
	a, b := NewKey(), NewKey()
	assert.Assert(t, a != b)
	assert.Equal(t, len(a), len(KeyPrefix)+32)
}

func FuzzParseDocument(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte(`{"routes": [{"deadline": 3}], "keys": {}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := Parse("", data)
		if err != nil {
			return
		}
		cloned, err := doc.Clone()
		assert.NilError(t, err)
		assert.DeepEqual(t, doc, cloned)
	})
}
