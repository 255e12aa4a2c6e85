package client

import "github.com/mangomast/mangomast/call"

// retryableRefusals has the reasons of refusals that can succeed when retried.
var retryableRefusals = newReasonSet(
	call.CodeRateLimited, call.CodeOverloaded, call.CodeNoUpstream, call.CodeLeaving, call.CodeStaleConfig,
	call.CodeStoreUnavailable, call.CodeConnectionLost, call.CodeCancelled, call.CodeInternal, call.CodeDeadline,
)

// permanentlyUnknown has the reasons of unknown outcomes that a retry with the
// same ID cannot resolve.
var permanentlyUnknown = newReasonSet(
	call.CodePinLost, call.CodeIDExpired, call.CodeAnswerNotKept, call.CodeUpstreamFailed, call.CodeTooLarge,
	call.CodeUnauthenticated, call.CodeForbidden, call.CodeNoRoute, call.CodeBadRequest,
)

type reasonSet map[string]bool

func newReasonSet(codes ...call.Code) reasonSet {
	set := reasonSet{}
	for _, code := range codes {
		set[code.String()] = true
	}
	return set
}

// isFinal reports whether a retry of the request cannot change its outcome.
func isFinal(resp *Response, idempotent bool) bool {
	switch resp.Outcome {
	case call.Answered:
		return true
	case call.Refused:
		return !retryableRefusals[resp.Reason]
	default:
		return !idempotent && permanentlyUnknown[resp.Reason]
	}
}
