package egress

import (
	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/retry"
)

// keepID gives a repeated call that is not idempotent the ID and the pin of
// the send that it repeats, so that it runs at most once.
func keepID(parent *call.Running, head *call.Head, signature retry.Signature) {
	if head.Idempotent {
		return
	}
	if sent, ok := parent.Unsettled.Lookup(call.RepeatKey(signature)); ok {
		head.ID, head.Pin = sent.ID, sent.Pin
	}
}

// noteID records whether a call that is not idempotent may be made anew:
// after a refusal, and after an answer that reached the upstream.
func noteID(parent *call.Running, head *call.Head, signature retry.Signature, reply *call.Reply, reached bool) {
	if head.Idempotent {
		return
	}
	settled := reply.Outcome == call.Refused || (reply.Outcome == call.Answered && reached)
	parent.Unsettled.Note(call.RepeatKey(signature), call.Sent{ID: head.ID, Pin: head.Pin}, settled)
}
