package egress

import (
	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/retry"
)

// reuseID gives a repeated non-idempotent call the ID and the pin of the send
// that it repeats, so that it runs at most once.
func reuseID(parent *call.Running, head *call.Head, signature retry.Signature) {
	if head.Idempotent {
		return
	}
	if earlier, ok := parent.Unsettled.Lookup(call.ContentKey(signature)); ok {
		head.ID, head.Pin = earlier.ID, earlier.Pin
	}
}

// recordID records whether a non-idempotent call may be sent again with a new
// ID: after a refusal, or after an answer that reached the upstream.
func recordID(parent *call.Running, head *call.Head, signature retry.Signature, reply *call.Reply, delivered bool) {
	if head.Idempotent {
		return
	}
	settled := reply.Outcome == call.Refused || (reply.Outcome == call.Answered && delivered)
	parent.Unsettled.Record(call.ContentKey(signature), call.SentCall{ID: head.ID, Pin: head.Pin}, settled)
}
