package guard

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/membership"
)

// TestDeparturesMatchLaterAnnouncements covers a node that has just started and
// receives the leave notice of its upstream first and an older announcement
// after it. The announcement must not make the upstream ready.
func TestDeparturesMatchLaterAnnouncements(t *testing.T) {
	var d departures
	d.add(membership.Departure{Instance: "i-1", Born: 1000})
	assert.Assert(t, d.has(&Announcement{Instance: "i-1", Born: 1000, Sequence: 19}))
	assert.Assert(t, !d.has(&Announcement{Instance: "i-1", Born: 2000, Sequence: 1}), "started again under its name")
	assert.Assert(t, !d.has(&Announcement{Instance: "i-2", Born: 1000}))
	d.add(membership.Departure{Instance: "i-3"})
	assert.Assert(t, d.has(&Announcement{Instance: "i-3", Born: 5}))
	for i := range 2 * maxDepartures {
		departed := membership.Departure{Instance: "i-4", Born: int64(i)}
		assert.Assert(t, d.add(departed))
		assert.Assert(t, !d.add(departed), "a notice that is sent again")
		assert.Assert(t, !d.isKept(departed))
		d.markKept(departed)
		assert.Assert(t, d.isKept(departed))
	}
	assert.Equal(t, len(d.incarnations), maxDepartures)
	assert.Equal(t, len(d.kept), maxDepartures)
}
