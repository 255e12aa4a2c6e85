package dispatch

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/mangomast/mangomast/call"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/routing"
)

// countingPicker records attempts and their results.
type countingPicker struct {
	routing.NearestPicker
	begun   int
	results []call.Outcome
}

func (p *countingPicker) Begin(routing.Attempt, membership.Entry) { p.begun++ }
func (p *countingPicker) Done(result routing.Result) {
	p.results = append(p.results, result.Reply.Outcome)
}

// TestPanicOfAnAttemptIsReportedToThePicker guards against a VM that seems loaded for good
// after a server recovered from a panic.
func TestPanicOfAnAttemptIsReportedToThePicker(t *testing.T) {
	picker := &countingPicker{}
	// Without a mesh, sending panics.
	d := &dispatch{Module: &Module{clock: clockwork.NewRealClock(), picker: picker, config: fixedConfig{}}}
	func() {
		defer func() { assert.Assert(t, recover() != nil) }()
		_, _ = d.sendRecorded(t.Context(), membership.Entry{VM: "vm-1"}, &d.head)
	}()
	assert.Equal(t, picker.begun, 1)
	assert.DeepEqual(t, picker.results, []call.Outcome{call.Unknown})
}
