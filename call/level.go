package call

import (
	"sync"
	"time"
)

// maxShare is the value of Level.Accepted for "all".
const maxShare = 255

// Level says which requests one VM of a service still accepts. It travels up
// the call chain on replies, so that an ingress learns it.
type Level struct {
	Service string `cbor:"1,keyasint"`
	VM      string `cbor:"2,keyasint"`
	// Accepted has, for each importance from 1, the share of requests that is
	// accepted in 1/255; nil if all are.
	Accepted []byte `cbor:"3,keyasint,omitempty"`
	// Importance is the one that Organisations is about.
	Importance uint8 `cbor:"4,keyasint,omitempty"`
	// Organisations lists the shares of organisations that differ.
	Organisations []OrganisationShare `cbor:"5,keyasint,omitempty"`
	// Age is the time since the level was received or made.
	Age time.Duration `cbor:"6,keyasint,omitempty"`
}

// OrganisationShare is the share of an organisation's requests that is
// accepted, in 1/255.
type OrganisationShare struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	Accepted     byte
}

// Share returns the share of the organisation's requests of the importance
// that is accepted, 0 to 1.
func (l *Level) Share(importance uint8, organisation string) float64 {
	if len(l.Accepted) == 0 || importance == 0 {
		return 1
	}
	if importance == l.Importance {
		for _, o := range l.Organisations {
			if o.Organisation == organisation {
				return float64(o.Accepted) / maxShare
			}
		}
	}
	if int(importance) > len(l.Accepted) {
		return 1
	}
	return float64(l.Accepted[importance-1]) / maxShare
}

// ShareByte encodes a share of 0 to 1 for a Level.
func ShareByte(share float64) byte {
	return byte(min(1, max(0, share))*maxShare + 0.5)
}

// Least returns the least importance, and the least rank within it, that the
// level accepts.
func (l *Level) Least() (importance uint8, rank uint16) {
	for i, accepted := range l.Accepted {
		if accepted > 0 {
			return uint8(i + 1), LeastRank(float64(accepted) / maxShare)
		}
	}
	return uint8(len(l.Accepted)), 0
}

// LeastRank returns the least rank that is accepted if the share of all
// requests is to be accepted; ranks are spread evenly.
func LeastRank(share float64) uint16 {
	const ranks = 1 << 16
	return uint16(min(ranks-1, max(0, (1-share)*ranks)))
}

// levels collects what the services called by a running request accept. It is
// safe for concurrent use.
type levels struct {
	mu      sync.Mutex
	refused bool
	entries []receivedLevel
}

type receivedLevel struct {
	level    Level
	received time.Time
}

// maxLevels bounds the levels that one reply carries.
const maxLevels = 16

// NoteReply records the reply to a call made on behalf of the request.
func (r *Running) NoteReply(reply *Reply, now time.Time) {
	r.below.mu.Lock()
	defer r.below.mu.Unlock()
	r.below.refused = r.below.refused || reply.Outcome != Answered
	for _, level := range reply.Levels {
		r.below.note(receivedLevel{level: level, received: now})
	}
}

func (l *levels) note(entry receivedLevel) {
	for i := range l.entries {
		known := &l.entries[i].level
		if known.Service == entry.level.Service && known.VM == entry.level.VM {
			l.entries[i] = entry
			return
		}
	}
	if len(l.entries) < maxLevels {
		l.entries = append(l.entries, entry)
	}
}

// Refused reports whether a call made on behalf of the request got no answer.
func (r *Running) Refused() bool {
	r.below.mu.Lock()
	defer r.below.mu.Unlock()
	return r.below.refused
}

// Levels returns the levels noted so far, with their ages.
func (r *Running) Levels(now time.Time) []Level {
	r.below.mu.Lock()
	defer r.below.mu.Unlock()
	list := make([]Level, 0, len(r.below.entries)+1)
	for _, entry := range r.below.entries {
		level := entry.level
		level.Age += now.Sub(entry.received)
		list = append(list, level)
	}
	return list
}
