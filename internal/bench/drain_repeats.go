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
	// repeatsPerStop is the number of answered requests that are sent again
	// after their pin's stop, out of at most maxRepeatIDs IDs asked for.
	repeatsPerStop = 10
	maxRepeatIDs   = 300
	repeatService  = "dispatch"
	// repeatPause is at least the Retry-After of a refusal by the rate.
	repeatPause = 1 * time.Second
)

// repeats are requests that are not idempotent and were answered before their
// pin stopped.
type repeats struct {
	fleet  *rig.Rig
	key    Key
	random *rand.Rand
	list   []repeat
	// sent counts the sends after a stop; answered those with the same answer.
	sent, answered int
	// limited counts those that were sent once more because the rate refused
	// them, as callers are told to do.
	limited int
	// lost says what became of the last send that was not answered.
	lost string
}

// repeat is a request with its first answer.
type repeat struct {
	request *client.Request
	id      string
	body    []byte
}

func newRepeats(fleet *rig.Rig, key Key, seed uint64) *repeats {
	return &repeats{fleet: fleet, key: key, random: rand.New(rand.NewPCG(seed, 7))}
}

// begin sends requests that are pinned to the node.
func (r *repeats) begin(ctx context.Context, node *rig.Node) error {
	if node.Spec.Service != repeatService {
		return nil
	}
	begun := 0
	for range maxRepeatIDs {
		if begun == repeatsPerStop {
			return nil
		}
		request := &client.Request{Method: http.MethodPost, Target: "/charge/fare?bytes=300", Header: http.Header{}}
		request.Header.Set(standin.HeaderTestID, fmt.Sprintf("repeat-%d", len(r.list)))
		c := r.caller(nil)
		text, refusal, err := c.NewID(ctx, request)
		if err != nil || refusal != nil {
			continue
		}
		if id, err := ledger.ParseID(text); err != nil || id.VM != node.Spec.VM {
			continue
		}
		resp, err := c.Send(ctx, request, text)
		if err == nil && resp.Outcome == call.Answered {
			r.list = append(r.list, repeat{request: request, id: text, body: resp.Body})
			begun++
		}
	}
	return errors.Errorf("only %d requests were answered by %s", begun, node.Spec.VM)
}

// sendAgain sends every request again through a random node other than the
// stopped one.
func (r *repeats) sendAgain(ctx context.Context, stopped *rig.Node) {
	for _, repeat := range r.list {
		resp, err := r.caller(stopped).Send(ctx, repeat.request, repeat.id)
		if err == nil && resp.Reason == call.CodeRateLimited.String() {
			r.limited++
			time.Sleep(repeatPause)
			resp, err = r.caller(stopped).Send(ctx, repeat.request, repeat.id)
		}
		r.sent++
		if err == nil && resp.Outcome == call.Answered && bytes.Equal(resp.Body, repeat.body) {
			r.answered++
			continue
		}
		r.lost = failureReason(resp, err)
	}
}

// caller returns a client of one random node.
func (r *repeats) caller(stopped *rig.Node) *client.Client {
	node := r.fleet.Nodes[r.random.IntN(len(r.fleet.Nodes))]
	for node == stopped {
		node = r.fleet.Nodes[r.random.IntN(len(r.fleet.Nodes))]
	}
	return client.New(client.Options{Addresses: []string{node.Callers}, Key: r.key.Secret})
}

// runTwice counts the requests that ran more than once.
func (r *repeats) runTwice() (int, error) {
	runs, err := r.fleet.Runs(repeatService)
	twice := 0
	for number := range r.list {
		if runs[fmt.Sprintf("repeat-%d", number)] > 1 {
			twice++
		}
	}
	return twice, err
}
