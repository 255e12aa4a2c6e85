package dispatch

import (
	"net/http"
	"sync"

	"github.com/mangomast/mangomast/call"
)

// retriable reports whether sending the call to another VM is allowed and may
// help. An answer with a server error is retried only if no call below it was:
// the hop nearest to the failure retries, those above do not.
func retriable(reply *call.Reply, idempotent bool) bool {
	switch reply.Outcome {
	case call.Refused:
		return retriableRefusal(reply.Code)
	case call.Answered:
		return idempotent && reply.RetriesUsed == 0 && failedStatus(reply.Status)
	}
	return idempotent && (reply.Code == call.CodeConnectionLost || reply.Code == call.CodeUpstreamFailed)
}

func retriableRefusal(code call.Code) bool {
	switch code {
	case call.CodeOverloaded, call.CodeLeaving, call.CodeNoUpstream, call.CodeConnectionLost:
		return true
	}
	return false
}

// failedStatus reports whether another VM may answer better.
func failedStatus(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// reachedNoUpstream reports whether the VM could not take any call: it was
// not reached, is leaving, or has no upstream.
func reachedNoUpstream(reply *call.Reply) bool {
	if reply.Outcome != call.Refused {
		return false
	}
	switch reply.Code {
	case call.CodeConnectionLost, call.CodeLeaving, call.CodeNoUpstream:
		return true
	}
	return false
}

// leaves knows the services whose upstreams make no calls of their own, as
// far as their answers showed. It is safe for concurrent use.
type leaves struct {
	services sync.Map
}

// is reports whether the service makes no calls.
func (l *leaves) is(service string) bool {
	leaf, ok := l.services.Load(service)
	return ok && leaf.(bool)
}

// observe learns from an answer. A service that made calls once is no leaf.
func (l *leaves) observe(service string, reply *call.Reply) {
	switch {
	case reply.Children > 0:
		if known, ok := l.services.Load(service); !ok || known.(bool) {
			l.services.Store(service, false)
		}
	case reply.Outcome == call.Answered && !failedStatus(reply.Status):
		l.services.LoadOrStore(service, true)
	}
}
