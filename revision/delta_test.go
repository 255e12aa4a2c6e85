package revision

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func document(keys int, changed int) []byte {
	var b strings.Builder
	for i := range keys {
		note := ""
		if i == changed {
			note = "changed"
		}
		fmt.Fprintf(&b, "    {\n      \"id\": \"key-%d\",\n      \"hash\": \"%064d\",\n      \"note\": %q\n    },\n", i, i, note)
	}
	return []byte(b.String())
}

func TestDeltaOfOneChangeIsSmall(t *testing.T) {
	from := NewState([]Value{{Name: "document", Revision: 5, Data: document(8000, -1)}, {Name: "owners", Revision: 4, Data: []byte("x")}})
	to := NewState([]Value{{Name: "document", Revision: 6, Data: document(8000, 4000)}, from.Values[1]})
	delta := Diff(from, to)
	transferred := 0
	for _, v := range delta.Values {
		for _, p := range v.Pieces {
			transferred += len(p.Data) + 8
		}
	}
	assert.Assert(t, len(from.Values[0].Data) > 900_000)
	assert.Assert(t, transferred < 10_000, "delta has %d bytes", transferred)
	got, err := Apply(from, delta)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Value("document"), to.Value("document"))
	assert.DeepEqual(t, got.Value("owners"), to.Value("owners"))
}

func TestDeltaNeedsItsBase(t *testing.T) {
	base := NewState([]Value{{Name: "document", Revision: 1, Data: []byte("a\n")}})
	target := NewState([]Value{{Name: "document", Revision: 2, Data: []byte("a\nb\n")}})
	_, err := Apply(nil, Diff(base, target))
	assert.ErrorContains(t, err, "not held")
	got, err := Apply(base, Diff(nil, target))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, target)
}

func TestApplyReproducesDiffTarget(t *testing.T) {
	lines := rapid.SliceOfN(rapid.SampledFrom([]string{"a\n", "b\n", "cc\n", "d", "\n", strings.Repeat("e", 9000)}), 0, 60)
	rapid.Check(t, func(t *rapid.T) {
		from := NewState([]Value{{Name: "x", Revision: 1, Data: []byte(strings.Join(lines.Draw(t, "from"), ""))}})
		to := NewState([]Value{{Name: "x", Revision: 2, Data: []byte(strings.Join(lines.Draw(t, "to"), ""))}})
		got, err := Apply(from, Diff(from, to))
		assert.NilError(t, err)
		assert.Equal(t, string(got.Value("x").Data), string(to.Value("x").Data))
	})
}

// TestDeltaSinceNeedsNoHistory applies random changes to values and checks that
// DeltaSince leads from every earlier revision to the last state.
func TestDeltaSinceNeedsNoHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := []*State{nil}
		values := []Value{}
		for r := range rapid.Int64Range(1, 20).Draw(t, "changes") {
			changed := Value{Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), Revision: r + 1, Data: []byte("x" + rapid.String().Draw(t, "data"))}
			values = append(slices.DeleteFunc(slices.Clone(values), func(v Value) bool { return v.Name == changed.Name }), changed)
			states = append(states, NewState(values))
		}
		last := states[len(states)-1]
		for held, from := range states[:len(states)-1] {
			got, err := Apply(from, DeltaSince(last, int64(held)))
			assert.NilError(t, err)
			assert.DeepEqual(t, got, last)
		}
	})
}

func FuzzApply(f *testing.F) {
	f.Add(1, 1, []byte("x"))
	f.Add(-1, 1<<62, []byte(nil))
	f.Fuzz(func(_ *testing.T, from, count int, data []byte) {
		state := NewState([]Value{{Name: "x", Revision: 1, Data: []byte("a\nb\n")}})
		pieces := []Piece{{From: from, Count: count, Data: data}}
		_, _ = Apply(state, &Delta{Base: 1, Revision: 2, Values: []ValueDelta{{Name: "x", Revision: 2, Pieces: pieces}}})
	})
}
