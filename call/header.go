package call

import (
	"net/http"
	"strings"
)

// Names of the HTTP headers that mangomast defines.
const (
	// HeaderOutcome and HeaderReason tell callers the Outcome and the Code.
	HeaderOutcome = "Mangomast-Outcome"
	HeaderReason  = "Mangomast-Reason"
	// HeaderRequestID names the request, to callers and to upstreams.
	HeaderRequestID = "Mangomast-Request-Id"
	// HeaderContext is the opaque token of the request that an upstream is
	// serving; the upstream sends it along with its own calls.
	HeaderContext = "Mangomast-Context"
	// HeaderOrganisation and HeaderImportance tell upstreams for whom and how
	// urgently they work.
	HeaderOrganisation = "Mangomast-Organisation"
	HeaderImportance   = "Mangomast-Importance"
	// HeaderUser names the caller's user. Requests of the same user are shed or
	// accepted alike under overload.
	HeaderUser = "Mangomast-User"
	// HeaderKey is one of the places where callers may put their key.
	HeaderKey = "Mangomast-Key"
	// HeaderPrefix starts all of them.
	HeaderPrefix = "Mangomast-"
)

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHeader removes what must not pass a node: hop-by-hop headers, those
// named in Connection, and mangomast's own.
func StripHeader(header http.Header) {
	for _, line := range header.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
	for name := range header {
		if strings.HasPrefix(http.CanonicalHeaderKey(name), HeaderPrefix) {
			delete(header, name)
		}
	}
}
