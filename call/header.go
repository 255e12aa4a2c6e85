package call

import (
	"net/http"
	"strings"
)

// Names of the HTTP headers defined by mangomast.
const (
	// HeaderOutcome and HeaderReason carry the Outcome and the Code to callers.
	HeaderOutcome = "Mangomast-Outcome"
	HeaderReason  = "Mangomast-Reason"
	// HeaderRequestID carries the request ID to callers and upstreams.
	HeaderRequestID = "Mangomast-Request-Id"
	// HeaderContext carries an opaque token for the request that an upstream is
	// serving. The upstream sends it with its own calls.
	HeaderContext = "Mangomast-Context"
	// HeaderOrganisation and HeaderImportance tell upstreams the organisation
	// and the importance of the request.
	HeaderOrganisation = "Mangomast-Organisation"
	HeaderImportance   = "Mangomast-Importance"
	// HeaderUser identifies the caller's user. Under overload, requests of the
	// same user are all accepted or all shed.
	HeaderUser = "Mangomast-User"
	// HeaderKey is one of the headers in which callers may send their key.
	HeaderKey = "Mangomast-Key"
	// HeaderPrefix is the prefix of all of them.
	HeaderPrefix = "Mangomast-"
)

// hopByHop lists the headers that apply to a single connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHeader removes the headers that a node must not forward: hop-by-hop
// headers, those named in Connection, and mangomast's own.
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
