package client

import "github.com/mangomast/mangomast/call"

// transient are the reasons of refusals that may pass.
var transient = reasons(
	call.CodeRateLimited, call.CodeOverloaded, call.CodeNoUpstream, call.CodeLeaving, call.CodeStaleConfig,
	call.CodeStoreUnavailable, call.CodeConnectionLost, call.CodeCancelled, call.CodeInternal, call.CodeDeadline,
)

// lost are the reasons of unknown outcomes that asking again does not change.
var lost = reasons(
	call.CodePinLost, call.CodeIDExpired, call.CodeAnswerNotKept, call.CodeUpstreamFailed, call.CodeTooLarge,
	call.CodeUnauthenticated, call.CodeForbidden, call.CodeNoRoute, call.CodeBadRequest,
)

type reasonSet map[string]bool

func reasons(codes ...call.Code) reasonSet {
	set := reasonSet{}
	for _, code := range codes {
		set[code.String()] = true
	}
	return set
}

// final reports whether sending the request again is of no use.
func final(resp *Response, idempotent bool) bool {
	switch resp.Outcome {
	case call.Answered:
		return true
	case call.Refused:
		return !transient[resp.Reason]
	default:
		return !idempotent && lost[resp.Reason]
	}
}
