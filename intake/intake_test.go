package intake

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1000, 0)

// TestLimitsHold opens, uses and closes connections at random. The bounds must hold
// after each step, and no connection whose request is being answered may be closed
// while its client reads.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Connections: rapid.IntRange(1, 20).Draw(t, "connections"), HeadBytes: 100}
		table := NewTable(limits)
		now := testStart
		var conns []*Conn
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			var victims []*Conn
			var acting *Conn
			step := rapid.IntRange(0, 4).Draw(t, "step")
			if step > 0 && len(conns) == 0 {
				continue
			}
			i := 0
			if step > 0 {
				i = rapid.IntRange(0, len(conns)-1).Draw(t, "connection")
			}
			switch step {
			case 0:
				c, victim := table.Open(nil, fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "address")), now)
				conns = append(conns, c)
				acting = c
				if victim != nil {
					victims = append(victims, victim)
				}
			case 1:
				acting = conns[i]
				if acting.phase != Serving {
					victims = table.ReadHead(acting, int64(rapid.IntRange(1, 60).Draw(t, "bytes")))
				}
			case 2:
				table.SetPhase(conns[i], Phase(rapid.IntRange(1, 2).Draw(t, "phase")), now)
			case 3:
				conns[i].BeginWrite(now)
			case 4:
				table.Close(conns[i])
			}
			for _, victim := range victims {
				assert.Assert(t, !victim.open)
				if victim != acting {
					assert.Assert(t, victim.phase != Serving || victim.stalled(now))
				}
			}
			assert.Assert(t, table.Len() <= limits.Connections)
			assert.Assert(t, table.headBytes <= limits.HeadBytes)
			total := int64(0)
			for c := range table.conns {
				total += c.headBytes
			}
			assert.Equal(t, total, table.headBytes)
		}
	})
}

// TestCrowdDoesNotShutOthersOut plays a crowd of one address that opens connections and
// sends nothing, or holds large heads. Callers of other addresses that come meanwhile
// must keep their connections.
func TestCrowdDoesNotShutOthersOut(t *testing.T) {
	for name, headBytes := range map[string]int64{"silent": 0, "large heads": 60 << 10} {
		table := NewTable(Limits{Connections: 400, HeadBytes: 1 << 20})
		now := testStart
		var callers []*Conn
		for i := range 4000 {
			now = now.Add(time.Millisecond)
			c, _ := table.Open(nil, "crowd", now)
			if headBytes > 0 {
				table.ReadHead(c, headBytes)
			}
			if i%100 == 0 {
				caller, victim := table.Open(nil, "caller", now)
				assert.Assert(t, victim != caller, name)
				table.ReadHead(caller, 1000)
				callers = append(callers, caller)
				table.SetPhase(caller, Serving, now)
			}
		}
		for _, caller := range callers {
			assert.Assert(t, caller.open, name)
		}
	}
}

// TestUsefulConnectionsAreClosedLast checks the order of victims.
func TestUsefulConnectionsAreClosedLast(t *testing.T) {
	table := NewTable(Limits{Connections: 4})
	open := func() *Conn {
		c, _ := table.Open(nil, "a", testStart)
		return c
	}
	active, idle, stuck, fresh := open(), open(), open(), open()
	table.SetPhase(active, Serving, testStart)
	table.SetPhase(idle, Idle, testStart)
	table.SetPhase(stuck, Serving, testStart)
	stuck.BeginWrite(testStart)
	active.BeginWrite(testStart.Add(StallTime))
	now := testStart.Add(StallTime + 1)
	for _, want := range []*Conn{fresh, stuck, idle} {
		c, victim := table.Open(nil, "b", now)
		assert.Assert(t, victim == want)
		table.SetPhase(c, Serving, now)
	}
	c, victim := table.Open(nil, "b", now)
	assert.Assert(t, victim == c, "a connection was closed whose request is being answered")
	assert.Assert(t, active.open)
}

// TestLimitsLeaveRoomForCallers checks the limits on the smallest VM in use: more
// connections than the callers of a VM open in a burst.
func TestLimitsLeaveRoomForCallers(t *testing.T) {
	limits := LimitsFor(184e6, 4100, CallersShare)
	assert.Assert(t, limits.Connections >= 1500 && limits.Connections <= 2050, "%d", limits.Connections)
	// A head of 64 KiB, the most that is read, is served beside 50 others.
	assert.Assert(t, limits.HeadBytes >= 50*64<<10, "%d", limits.HeadBytes)
}
