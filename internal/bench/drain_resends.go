package bench

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/client"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
	"github.com/mangomast/mangomast/ledger"
)

const (
	// resendsPerStop is the number of answered requests per stopped node that
	// are sent again after the stop; at most maxResendIDs IDs are requested to
	// find that many pinned to the node.
	resendsPerStop = 10
	maxResendIDs   = 300
	resendService  = "dispatch"
	// rateLimitPause is at least the Retry-After of a rate-limited response.
	rateLimitPause = 1 * time.Second
)

// resends records requests that are not idempotent and were answered before
// the node they are pinned to stopped, and sends them again.
type resends struct {
	fleet    *rig.Rig
	key      Key
	random   *rand.Rand
	requests []resend
	// sent counts the sends after a stop; answered counts those that got the
	// same response as before.
	sent, answered int
	// rateLimited counts those that were refused by the rate limit and sent
	// once more after the Retry-After time.
	rateLimited int
	// lastFailure is the reason of the last send that did not get the same
	// response.
	lastFailure string
}

// resend is a request with its ID and the body of its first response.
type resend struct {
	request *client.Request
	id      string
	body    []byte
}

func newResends(fleet *rig.Rig, key Key, seed uint64) *resends {
	return &resends{fleet: fleet, key: key, random: rand.New(rand.NewPCG(seed, 7))}
}

// sendPinned sends requests that are pinned to the node and records those that
// were answered. It does nothing for nodes of other services.
func (r *resends) sendPinned(ctx context.Context, node *rig.Node) error {
	if node.Spec.Service != resendService {
		return nil
	}
	answered := 0
	for range maxResendIDs {
		if answered == resendsPerStop {
			return nil
		}
		request := &client.Request{Method: http.MethodPost, Target: "/charge/fare?bytes=300", Header: http.Header{}}
		request.Header.Set(standin.HeaderTestID, fmt.Sprintf("repeat-%d", len(r.requests)))
		c := r.randomClient(nil)
		text, refusal, err := c.NewID(ctx, request)
		if err != nil || refusal != nil {
			continue
		}
		if id, err := ledger.ParseID(text); err != nil || id.VM != node.Spec.VM {
			continue
		}
		resp, err := c.Send(ctx, request, text)
		if err == nil && resp.Outcome == call.Answered {
			r.requests = append(r.requests, resend{request: request, id: text, body: resp.Body})
			answered++
		}
	}
	return errors.Errorf("only %d requests pinned to node %s were answered", answered, node.Spec.VM)
}

// resendAll sends every recorded request again through a random node other than
// the stopped one.
func (r *resends) resendAll(ctx context.Context, stopped *rig.Node) {
	for _, resend := range r.requests {
		resp, err := r.randomClient(stopped).Send(ctx, resend.request, resend.id)
		if err == nil && resp.Reason == call.CodeRateLimited.String() {
			r.rateLimited++
			time.Sleep(rateLimitPause)
			resp, err = r.randomClient(stopped).Send(ctx, resend.request, resend.id)
		}
		r.sent++
		if err == nil && resp.Outcome == call.Answered && bytes.Equal(resp.Body, resend.body) {
			r.answered++
			continue
		}
		r.lastFailure = failureReason(resp, err)
	}
}

// randomClient returns a client of a random node other than the stopped one.
func (r *resends) randomClient(stopped *rig.Node) *client.Client {
	node := r.fleet.Nodes[r.random.IntN(len(r.fleet.Nodes))]
	for node == stopped {
		node = r.fleet.Nodes[r.random.IntN(len(r.fleet.Nodes))]
	}
	return client.New(client.Options{Addresses: []string{node.Callers}, Key: r.key.Secret})
}

// runTwice counts the recorded requests that ran more than once.
func (r *resends) runTwice() (int, error) {
	runs, err := r.fleet.Runs(resendService)
	twice := 0
	for number := range r.requests {
		if runs[fmt.Sprintf("repeat-%d", number)] > 1 {
			twice++
		}
	}
	return twice, err
}
