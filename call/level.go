package call

import (
	"sync"
	"time"
)

// maxShare encodes a share of 1 in Level.Accepted.
const maxShare = 255

// Level is the share of requests that one VM of a service accepts. Replies
// carry it up the call chain to the ingress.
type Level struct {
	Service string `cbor:"1,keyasint"`
	VM      string `cbor:"2,keyasint"`
	// Accepted lists the accepted share for each importance from 1, in units of
	// 1/255; nil if all requests are accepted.
	Accepted []byte `cbor:"3,keyasint,omitempty"`
	// Importance is the importance that Organisations applies to.
	Importance uint8 `cbor:"4,keyasint,omitempty"`
	// Organisations lists the organisations whose accepted share differs from
	// that of their importance.
	Organisations []OrganisationShare `cbor:"5,keyasint,omitempty"`
	// Age is the time since the level was received or created.
	Age time.Duration `cbor:"6,keyasint,omitempty"`
}

// OrganisationShare is the accepted share of an organisation's requests, in
// units of 1/255.
type OrganisationShare struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	Accepted     byte
}

// Share returns the accepted share, 0 to 1, of the organisation's requests of
// the importance.
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

// EncodeShare encodes a share from 0 to 1 for a Level.
func EncodeShare(share float64) byte {
	return byte(min(1, max(0, share))*maxShare + 0.5)
}

// MinAccepted returns the lowest importance, and the lowest rank within it,
// that the level accepts.
func (l *Level) MinAccepted() (importance uint8, rank uint16) {
	for i, accepted := range l.Accepted {
		if accepted > 0 {
			return uint8(i + 1), MinAcceptedRank(float64(accepted) / maxShare)
		}
	}
	return uint8(len(l.Accepted)), 0
}

// MinAcceptedRank returns the lowest rank to accept so that the given share of
// requests is accepted. Ranks are uniformly distributed.
func MinAcceptedRank(share float64) uint16 {
	const ranks = 1 << 16
	return uint16(min(ranks-1, max(0, (1-share)*ranks)))
}

// calleeLevels collects the levels of the services called by a running request.
// It is safe for concurrent use.
type calleeLevels struct {
	mu      sync.Mutex
	refused bool
	entries []receivedLevel
}

type receivedLevel struct {
	level    Level
	received time.Time
}

// maxLevels is the maximum number of levels collected for one reply.
const maxLevels = 16

// RecordReply records the reply to a call made on behalf of the request.
func (r *Running) RecordReply(reply *Reply, now time.Time) {
	r.callees.mu.Lock()
	defer r.callees.mu.Unlock()
	r.callees.refused = r.callees.refused || reply.Outcome != Answered
	for _, level := range reply.Levels {
		r.callees.record(receivedLevel{level: level, received: now})
	}
}

func (l *calleeLevels) record(received receivedLevel) {
	for i := range l.entries {
		previous := &l.entries[i].level
		if previous.Service == received.level.Service && previous.VM == received.level.VM {
			l.entries[i] = received
			return
		}
	}
	if len(l.entries) < maxLevels {
		l.entries = append(l.entries, received)
	}
}

// Refused reports whether any call made on behalf of the request was not
// answered by an upstream.
func (r *Running) Refused() bool {
	r.callees.mu.Lock()
	defer r.callees.mu.Unlock()
	return r.callees.refused
}

// Levels returns the levels recorded so far, with their current ages.
func (r *Running) Levels(now time.Time) []Level {
	r.callees.mu.Lock()
	defer r.callees.mu.Unlock()
	list := make([]Level, 0, len(r.callees.entries)+1)
	for _, entry := range r.callees.entries {
		level := entry.level
		level.Age += now.Sub(entry.received)
		list = append(list, level)
	}
	return list
}
