package retry

import "sync"

// Signature names a call by its method, target and body. Calls that one
// request makes with the same signature are sends of the same call.
type Signature uint64

// Verdict is what Sends says of a call.
type Verdict uint8

const (
	// First means that the call is not a repetition of a failed one.
	First Verdict = iota
	// Resend means that the call repeats one that failed.
	Resend
	// Busy means that the same call is in progress; its end decides.
	Busy
)

// Sends tells repeated calls from first ones among the calls that one request
// makes. It is safe for concurrent use; the zero value is ready.
//
// Calls with the same signature run one after the other, because a client that
// stopped waiting may send a call again before the first one is known to have
// failed.
type Sends struct {
	mu    sync.Mutex
	calls map[Signature]*sends
}

// sends are the calls with one signature.
type sends struct {
	failed int
	// done is closed at the end of the call in progress; nil if there is none.
	done chan struct{}
}

// Begin asks for a call. On Busy nothing has begun, and done is closed when it
// is time to ask again. Otherwise the call has begun and End must follow.
func (s *Sends) Begin(signature Signature) (verdict Verdict, done <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls == nil {
		s.calls = map[Signature]*sends{}
	}
	c := s.calls[signature]
	if c == nil {
		c = &sends{}
		s.calls[signature] = c
	}
	if c.done != nil {
		return Busy, c.done
	}
	c.done = make(chan struct{})
	if c.failed == 0 {
		return First, nil
	}
	c.failed--
	return Resend, nil
}

// End ends a call. A call that failed makes the next one with its signature a
// Resend.
func (s *Sends) End(signature Signature, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.calls[signature]
	if c == nil || c.done == nil {
		return
	}
	close(c.done)
	c.done = nil
	if !ok {
		c.failed++
	}
}
