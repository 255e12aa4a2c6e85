package ingress

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/membership"
	retryplugin "github.com/mangomast/mangomast/plugin/retry"
	"github.com/mangomast/mangomast/shedding"
)

// fixedMembers is a membership.Source that never changes.
type fixedMembers struct{ view *membership.View }

func (f fixedMembers) View() *membership.View { return f.view }
func (f fixedMembers) Self() membership.Entry { return membership.Entry{VM: "front-1"} }

// newTestIngress returns an ingress that has received no reply yet, in a fleet
// with one VM of service "fares" that announces whether it sheds. VMs answer
// level queries with the levels after the delay.
func newTestIngress(shedding bool, levels []call.Level, delay time.Duration) (*Module, *int) {
	queries := new(int)
	m := &Module{
		Shedding: true, AskLevels: true, clock: clockwork.NewRealClock(),
		metrics: newMetrics(prometheus.NewRegistry()), retries: &retryplugin.Module{},
		members: fixedMembers{membership.NewView([]membership.Entry{
			{VM: "fares-1", Service: "fares", State: membership.Ready, Sheds: shedding},
		})},
	}
	m.levels = newLevels(m, func(context.Context, membership.Entry, string) ([]call.Level, error) {
		*queries++
		time.Sleep(delay)
		return levels, nil
	})
	return m, queries
}

func (m *Module) sheds(importance uint8) bool {
	route := &config.Route{ID: "quote", Service: "fares", Importance: importance}
	return m.shed(httptest.NewRequest(http.MethodGet, "/", nil), &request{route: route, head: &call.Head{ID: "1"}}) != nil
}

// levelsFrom6 returns the levels of a call graph in which one service accepts
// only importance 6 and above.
func levelsFrom6() []call.Level {
	level := call.Level{Service: "ledger", VM: "ledger-1", Accepted: make([]byte, config.MaxImportance)}
	for i := 6; i <= config.MaxImportance; i++ {
		level.Accepted[i-1] = call.EncodeShare(1)
	}
	return []call.Level{{Service: "fares", VM: "fares-1"}, level}
}

func TestIngressQueriesLevelsBeforeFirstReply(t *testing.T) {
	m, queries := newTestIngress(true, levelsFrom6(), 0)
	assert.Assert(t, m.sheds(5))
	assert.Assert(t, !m.sheds(6))
	assert.Equal(t, *queries, 1)
}

func TestIngressSendsNoQueryWhileNoVMSheds(t *testing.T) {
	m, queries := newTestIngress(false, levelsFrom6(), 0)
	assert.Assert(t, !m.sheds(5))
	assert.Equal(t, *queries, 0)
}

func TestRequestsWaitBrieflyForLevels(t *testing.T) {
	m, _ := newTestIngress(true, levelsFrom6(), 2*time.Second)
	started := time.Now()
	assert.Assert(t, !m.sheds(5))
	assert.Assert(t, time.Since(started) < time.Second)
}

func TestLevelQueriesAreRateLimited(t *testing.T) {
	m, queries := newTestIngress(true, nil, 0)
	for range 100 {
		m.sheds(5)
	}
	assert.Assert(t, *queries <= queryBurst+1, "%d queries", *queries)
}

func TestRouteLevelsCoverItsCallGraph(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	table := shedding.NewTable(shedding.TableOptions{})
	table.Record("quote", true, levelsFrom6(), now)
	table.Record("other", true, []call.Level{{Service: "maps", VM: "maps-1"}}, now)
	later := now.Add(100 * time.Millisecond)
	levels := table.Levels("quote", 16, later)
	assert.Equal(t, len(levels), 2)
	assert.Equal(t, levels[0].Age, 100*time.Millisecond)
	assert.Assert(t, table.Sheds("quote", later) && !table.Sheds("other", later))
	assert.Assert(t, table.HasFreshLevels("quote", later) && !table.HasFreshLevels("third", later))
	assert.Assert(t, !table.HasFreshLevels("quote", now.Add(shedding.DefaultHold+time.Millisecond)))
}
