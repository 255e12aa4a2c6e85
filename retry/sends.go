package retry

import "sync"

// Signature identifies a call by its method, target and body. Calls of one
// request with the same signature are sends of the same call.
type Signature uint64

// SendKind is the classification of a call by Sends.
type SendKind uint8

const (
	// First means that the call does not repeat a failed one.
	First SendKind = iota
	// Resend means that the call repeats a failed one.
	Resend
	// Busy means that a call with the same signature is in progress. The caller
	// must wait for its end.
	Busy
)

// Sends distinguishes repeated calls from first ones among the calls of one
// request. It is safe for concurrent use; the zero value is ready to use.
//
// Calls with the same signature are serialised, because a client that timed out
// may send a call again before the first one is known to have failed.
type Sends struct {
	mu    sync.Mutex
	calls map[Signature]*signatureState
}

// signatureState is the state of the calls with one signature.
type signatureState struct {
	failures int
	// done is closed at the end of the call in progress; nil if there is none.
	done chan struct{}
}

// Begin starts a call. With Busy, the call has not started, and done is closed
// when Begin should be called again. Otherwise End must follow.
func (s *Sends) Begin(signature Signature) (kind SendKind, done <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls == nil {
		s.calls = map[Signature]*signatureState{}
	}
	c := s.calls[signature]
	if c == nil {
		c = &signatureState{}
		s.calls[signature] = c
	}
	if c.done != nil {
		return Busy, c.done
	}
	c.done = make(chan struct{})
	if c.failures == 0 {
		return First, nil
	}
	c.failures--
	return Resend, nil
}

// End ends a call. If it failed, the next call with its signature is a Resend.
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
		c.failures++
	}
}
