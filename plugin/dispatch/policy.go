package dispatch

import (
	"net/http"
	"sync"

	"github.com/mangomast/mangomast/call"
)

// retriable reports whether sending the call to another VM is allowed and may
// succeed. An answer with a server error is retried only if no call below it
// was retried: only the hop nearest to the failure retries.
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
	case call.CodeOverloaded, call.CodeLeaving, call.CodeNoUpstream, call.CodeConnectionLost, call.CodeForeignRegion:
		return true
	}
	return false
}

// failedStatus reports whether the status is a server error that another VM may
// not return.
func failedStatus(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// reachedNoUpstream reports whether the VM could not accept any call: it was
// not reached, is leaving, or has no upstream.
func reachedNoUpstream(reply *call.Reply) bool {
	if reply.Outcome != call.Refused {
		return false
	}
	switch reply.Code {
	case call.CodeConnectionLost, call.CodeLeaving, call.CodeNoUpstream, call.CodeForeignRegion:
		return true
	}
	return false
}

// leafServices records, based on their answers, which services' upstreams make
// no calls of their own. It is safe for concurrent use.
type leafServices struct {
	services sync.Map
}

// contains reports whether the service makes no calls.
func (l *leafServices) contains(service string) bool {
	leaf, ok := l.services.Load(service)
	return ok && leaf.(bool)
}

// observe classifies the service by an answer. A service that has made a call
// once is never a leaf again.
func (l *leafServices) observe(service string, reply *call.Reply) {
	switch {
	case reply.Children > 0:
		if known, ok := l.services.Load(service); !ok || known.(bool) {
			l.services.Store(service, false)
		}
	case reply.Outcome == call.Answered && !failedStatus(reply.Status):
		l.services.LoadOrStore(service, true)
	}
}
