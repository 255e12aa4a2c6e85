package guard

import (
	"slices"

	"github.com/mangomast/mangomast/membership"
)

// maxDepartures bounds the recorded incarnations, as successive upstreams use
// the same address. The oldest are evicted.
const maxDepartures = 16

// departures records the incarnations that gave notice of leaving. A notice may
// arrive before any announcement of its upstream, and announcements sent before
// the notice may arrive seconds after it.
type departures struct {
	incarnations []membership.Departure
	// kept are the departures that the store has.
	kept []membership.Departure
}

// add records a departure and reports whether it was unknown.
func (d *departures) add(departed membership.Departure) bool {
	if slices.Contains(d.incarnations, departed) {
		return false
	}
	d.incarnations = appendDeparture(d.incarnations, departed)
	return true
}

// markKept records that the store has the departure.
func (d *departures) markKept(departed membership.Departure) {
	d.kept = appendDeparture(d.kept, departed)
}

func appendDeparture(list []membership.Departure, departed membership.Departure) []membership.Departure {
	list = append(list, departed)
	return list[max(0, len(list)-maxDepartures):]
}

func (d *departures) isKept(departed membership.Departure) bool {
	return slices.Contains(d.kept, departed)
}

// has reports whether the announcement is from a departed incarnation. An
// upstream may restart under its former name, with a later Born.
func (d *departures) has(a *Announcement) bool {
	for _, departed := range d.incarnations {
		if departed.Instance == a.Instance && (departed.Born == 0 || a.Born <= departed.Born) {
			return true
		}
	}
	return false
}
