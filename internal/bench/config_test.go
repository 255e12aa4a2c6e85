package bench

import (
	"testing"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
)

// TestFieldModelDetectsLostUpdate checks that the model rejects a history in
// which a committed update is no longer visible to a later read.
func TestFieldModelDetectsLostUpdate(t *testing.T) {
	in := func(old, wanted string) fieldInput { return fieldInput{Field: "f", Old: old, New: wanted} }
	history := []porcupine.Operation{
		{ClientId: 0, Input: in("100", "1"), Output: fieldOutput{Done: true, Value: "1"}, Call: 1, Return: 2},
		{ClientId: 1, Input: in("1", "2"), Output: fieldOutput{Done: true, Value: "2"}, Call: 3, Return: 4},
		{ClientId: 0, Input: in("1", "3"), Output: fieldOutput{Value: "2"}, Call: 5, Return: 6},
		{ClientId: 1, Input: fieldInput{Field: "f"}, Output: fieldOutput{Value: "2"}, Call: 7, Return: 8},
	}
	assert.Assert(t, porcupine.CheckOperations(fieldModel(), history))
	history[3].Output = fieldOutput{Value: "1"}
	assert.Assert(t, !porcupine.CheckOperations(fieldModel(), history))
}
