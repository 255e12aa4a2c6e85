package ingress

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/kernel"
	"github.com/mangomast/mangomast/shedding"
)

const (
	expireInterval = 1 * time.Second
	// maxLevelAge is the maximum of the settings hold and fade.
	maxLevelAge = 10 * time.Second
)

// shed sets the request's importance and rank for its whole call tree, and
// refuses it if a service that the route calls would refuse it.
func (m *Module) shed(r *http.Request, req *request) *call.Reply {
	head := req.head
	head.Importance = req.route.Importance
	head.Rank = rank(r, req)
	if !m.Shedding {
		return nil
	}
	if m.AskLevels {
		m.levels.refresh(r.Context(), req.route)
	}
	decision := m.levels.decide(req)
	if decision.Accept {
		head.Passed = decision.Passed
		return nil
	}
	head.Route = req.route.ID
	m.metrics.shed.WithLabelValues(decision.Service, strconv.Itoa(int(head.Importance))).Inc()
	refusal := call.Refuse(call.CodeOverloaded, fmt.Sprintf("service %s sheds requests of importance %d", decision.Service, head.Importance))
	refusal.RetryAfter = m.retries.Delay()
	return refusal
}

// rank distributes users evenly over the ranks. A request without a user gets a
// rank of its own, which its repeated sends share.
func rank(r *http.Request, req *request) uint16 {
	user := r.Header.Get(call.HeaderUser)
	if user == "" {
		user = claimedID(r)
	}
	if user == "" {
		user = req.head.ID
	}
	return uint16(xxh3.HashString(req.head.Organisation + "/" + user))
}

// recordLevels records the levels that a reply carried.
func (m *Module) recordLevels(req *request, reply *call.Reply) {
	if !m.Shedding || len(reply.Levels) == 0 {
		return
	}
	m.levels.recordLevels(req.route.ID, shedding.Complete(reply), reply.Levels, m.clock.Now())
}

// expireLevels periodically evicts expired levels.
func (m *Module) expireLevels(ctx context.Context) error {
	return kernel.Every(ctx, m.clock, expireInterval, func(context.Context) { m.levels.expire() })
}
