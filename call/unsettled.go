package call

import "sync"

// ContentKey identifies the contents of a call made by an upstream.
type ContentKey uint64

// SentCall is the ID and the pin that a call was sent with.
type SentCall struct {
	ID  string
	Pin Pin
}

// Unsettled holds the non-idempotent calls of one running request whose answers
// did not reach the upstream. If the upstream repeats such a call, it is sent
// with the same ID. It is safe for concurrent use.
type Unsettled struct {
	mu   sync.Mutex
	sent map[ContentKey]SentCall
}

// Lookup returns the ID and the pin with which the call must be repeated.
func (u *Unsettled) Lookup(key ContentKey) (SentCall, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	sent, ok := u.sent[key]
	return sent, ok
}

// Record records how a send ended. A settled call, which was refused or whose
// answer was delivered, may be sent again with a new ID.
func (u *Unsettled) Record(key ContentKey, sent SentCall, settled bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if settled || sent.Pin.IsZero() {
		delete(u.sent, key)
		return
	}
	if u.sent == nil {
		u.sent = map[ContentKey]SentCall{}
	}
	u.sent[key] = sent
}
