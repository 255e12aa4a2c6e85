package quota

import (
	"math"
	"time"
)

// demandWindow is the time constant of the smoothed demand.
const demandWindow = 500 * time.Millisecond

// demand estimates the requests a second as an exponentially weighted average.
type demand struct {
	rate      float64
	updatedAt time.Time
}

func (d *demand) decay(now time.Time) {
	elapsed := now.Sub(d.updatedAt)
	if elapsed <= 0 {
		return
	}
	d.rate *= math.Exp(-float64(elapsed) / float64(demandWindow))
	d.updatedAt = now
}

// add counts one request.
func (d *demand) add(now time.Time) {
	d.decay(now)
	d.rate += 1 / demandWindow.Seconds()
}
