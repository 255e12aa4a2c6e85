package guard

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestDeparturesMatchLaterAnnouncements covers a node that has just started and
// receives the leave notice of its upstream first and an older announcement
// after it. The announcement must not make the upstream ready.
func TestDeparturesMatchLaterAnnouncements(t *testing.T) {
	var d departures
	d.add("i-1", 1000)
	assert.Assert(t, d.has(&Announcement{Instance: "i-1", Born: 1000, Sequence: 19}))
	assert.Assert(t, !d.has(&Announcement{Instance: "i-1", Born: 2000, Sequence: 1}), "started again under its name")
	assert.Assert(t, !d.has(&Announcement{Instance: "i-2", Born: 1000}))
	d.add("i-3", 0)
	assert.Assert(t, d.has(&Announcement{Instance: "i-3", Born: 5}))
	for range maxDepartures {
		d.add("i-4", 1)
	}
	assert.Equal(t, len(d.incarnations), maxDepartures)
}
