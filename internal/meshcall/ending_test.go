package meshcall

import (
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEndingRunsEachStepOnce(t *testing.T) {
	var ran []string
	begin := func(answer io.ReadCloser, panics bool) io.ReadCloser {
		var end Ending
		defer end.Close()
		end.Add(func() { ran = append(ran, "first") })
		end.Add(func() { ran = append(ran, "last") })
		if panics {
			panic("unexpected")
		}
		if answer == nil {
			return nil
		}
		return end.With(answer)
	}
	begin(nil, false)
	assert.DeepEqual(t, ran, []string{"last", "first"})
	func() {
		defer func() { assert.Assert(t, recover() != nil) }()
		begin(nil, true)
	}()
	assert.DeepEqual(t, ran, []string{"last", "first", "last", "first"})
	body := begin(io.NopCloser(strings.NewReader("")), false)
	assert.Equal(t, len(ran), 4)
	for range 2 {
		assert.NilError(t, body.Close())
	}
	assert.Equal(t, len(ran), 6)
}
