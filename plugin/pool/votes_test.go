package pool

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/mesh"
	"github.com/mangomast/mangomast/quota"
)

// TestMessagesOfEarlierVersionsAreUnderstood decodes a question for tokens and a grant as
// nodes without votes send them, and a claim as such a node reads it.
func TestMessagesOfEarlierVersionsAreUnderstood(t *testing.T) {
	data, err := mesh.Encode(tokenRequest{Organisation: "desk", Want: 3})
	assert.NilError(t, err)
	var request message
	assert.NilError(t, mesh.Decode(data, &request))
	assert.Equal(t, request.Organisation, "desk")
	assert.Equal(t, request.Want, 3.0)
	assert.Assert(t, request.Votes == nil && request.Yield == nil)

	data, err = mesh.Encode(grant{Tokens: 2})
	assert.NilError(t, err)
	var got answer
	assert.NilError(t, mesh.Decode(data, &got))
	assert.Equal(t, got.Tokens, 2.0)
	assert.Assert(t, got.Votes == nil)

	data, err = mesh.Encode(message{Votes: &voteRequest{Claims: []quota.Claim{{Organisation: "desk"}}}})
	assert.NilError(t, err)
	var old tokenRequest
	assert.NilError(t, mesh.Decode(data, &old))
	assert.Equal(t, old.Organisation, "")
}
