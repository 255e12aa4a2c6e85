package guard

// maxDepartures bounds the recorded incarnations, as successive upstreams use
// the same address. The oldest are evicted.
const maxDepartures = 16

// departures records the incarnations that gave notice of leaving. A notice may
// arrive before any announcement of its upstream, and announcements sent before
// the notice may arrive seconds after it.
type departures struct {
	incarnations []departure
}

// departure is an incarnation that gave notice of leaving; born is 0 if the
// notice did not contain it.
type departure struct {
	instance string
	born     int64
}

func (d *departures) add(instance string, born int64) {
	d.incarnations = append(d.incarnations, departure{instance: instance, born: born})
	if len(d.incarnations) > maxDepartures {
		d.incarnations = d.incarnations[1:]
	}
}

// has reports whether the announcement is from a departed incarnation. An
// upstream may restart under its former name, with a later Born.
func (d *departures) has(a *Announcement) bool {
	for _, departed := range d.incarnations {
		if departed.instance == a.Instance && (departed.born == 0 || a.Born <= departed.born) {
			return true
		}
	}
	return false
}
