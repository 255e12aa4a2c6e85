package httpserver

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// acceptQuiet is the time without a new connection after which none waits to
	// be accepted; acceptLinger bounds the wait for it.
	acceptQuiet  = 10 * time.Millisecond
	acceptLinger = 300 * time.Millisecond
)

// errDrained is returned by Accept of a listener that was stopped and has accepted
// the connections that were waiting.
var errDrained = errors.New("listener is drained")

// drainingListener is a listener that, once stopped, accepts the connections that
// wait to be accepted before it closes.
type drainingListener struct {
	*net.TCPListener
	// guard bounds the accepted connections; nil for no bound.
	guard     *guard
	stopped   atomic.Pointer[time.Time]
	ended     chan struct{}
	closeOnce sync.Once
}

// stop ends the listener and blocks until it has accepted the waiting connections
// and is closed. A listener on which Accept is not called closes after
// acceptLinger.
func (l *drainingListener) stop() {
	now := time.Now()
	l.stopped.Store(&now)
	_ = l.SetDeadline(now.Add(acceptQuiet))
	select {
	case <-l.ended:
	case <-time.After(2 * acceptLinger):
		_ = l.Close()
	}
}

// Accept implements net.Listener.
func (l *drainingListener) Accept() (net.Conn, error) {
	stopped := l.stopped.Load()
	if stopped != nil {
		now := time.Now()
		if now.Sub(*stopped) > acceptLinger {
			_ = l.Close()
			return nil, errDrained
		}
		_ = l.SetDeadline(now.Add(acceptQuiet))
	}
	conn, err := l.acceptGuarded()
	if errors.Is(err, net.ErrClosed) && l.stopped.Load() != nil {
		return nil, errDrained
	}
	var timeout net.Error
	if err == nil || !errors.As(err, &timeout) || !timeout.Timeout() {
		return conn, err
	}
	if stopped == nil {
		// The deadline that stop set has ended this call; the next one drains.
		return l.Accept()
	}
	_ = l.Close()
	return nil, errDrained
}

// Close implements net.Listener.
func (l *drainingListener) Close() error {
	err := l.TCPListener.Close()
	l.closeOnce.Do(func() { close(l.ended) })
	return err
}

// acceptGuarded accepts a connection that the guard lets in.
func (l *drainingListener) acceptGuarded() (net.Conn, error) {
	for {
		conn, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if l.guard == nil {
			return conn, nil
		}
		if guarded := l.guard.accept(conn); guarded != nil {
			return guarded, nil
		}
	}
}
