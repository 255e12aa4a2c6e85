package bench

import (
	"math"

	"github.com/anishathalye/porcupine"

	"github.com/mangomast/mangomast/call"
)

// onceState is the state of one ID in the sequential specification.
type onceState uint8

const (
	onceUndecided onceState = iota
	onceRan
	onceClosed
)

// onceFinalRuns is an operation that reads the number of runs of a request
// after all other operations.
type onceFinalRuns struct {
	number int
	runs   int
}

// linearizable checks the history of each ID against the specification: a
// request either runs once or is closed, and every definite outcome must match
// that state.
func linearizable(history []onceSend, requests int, runs map[string]int) bool {
	operations := make([]porcupine.Operation, 0, len(history)+requests)
	for _, sent := range history {
		operations = append(operations, porcupine.Operation{Input: sent.number, Call: sent.called, Output: sent.outcome, Return: sent.ended})
	}
	for number := range requests {
		count := onceFinalRuns{number: number, runs: runs[onceTestID(number)]}
		operations = append(operations, porcupine.Operation{Input: number, Call: math.MaxInt64 - 1, Output: count, Return: math.MaxInt64})
	}
	return porcupine.CheckOperations(onceModel(), operations)
}

func onceModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Partition: partitionByNumber,
		Init:      func() []any { return []any{onceUndecided} },
		Step: func(state, _, output any) []any {
			if count, ok := output.(onceFinalRuns); ok {
				return stepFinalRuns(state.(onceState), count)
			}
			return stepSend(state.(onceState), output.(call.Outcome))
		},
	}
	return model.ToModel()
}

func partitionByNumber(history []porcupine.Operation) [][]porcupine.Operation {
	byNumber := map[int][]porcupine.Operation{}
	for _, operation := range history {
		number := operation.Input.(int)
		byNumber[number] = append(byNumber[number], operation)
	}
	parts := make([][]porcupine.Operation, 0, len(byNumber))
	for _, part := range byNumber {
		parts = append(parts, part)
	}
	return parts
}

// stepSend returns the states that are possible after a send with the given
// outcome. An unknown outcome allows every state reachable from the current
// one.
func stepSend(state onceState, outcome call.Outcome) []any {
	wanted := onceRan
	switch outcome {
	case call.Unknown:
		if state == onceUndecided {
			return []any{onceUndecided, onceRan, onceClosed}
		}
		return []any{state}
	case call.Refused:
		wanted = onceClosed
	}
	if state == onceUndecided || state == wanted {
		return []any{wanted}
	}
	return nil
}

func stepFinalRuns(state onceState, count onceFinalRuns) []any {
	ran := state == onceRan
	if (ran && count.runs == 1) || (!ran && count.runs == 0) {
		return []any{state}
	}
	return nil
}
