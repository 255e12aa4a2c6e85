package bench

import (
	"math"

	"github.com/anishathalye/porcupine"

	"github.com/mangomast/mangomast/call"
)

// onceState is the state of one ID in the sequential specification.
type onceState uint8

const (
	onceFresh onceState = iota
	onceRan
	onceClosed
)

// onceCount reads how often the request has run, after everything else.
type onceCount struct {
	number int
	runs   int
}

// linearizable checks the history of each ID against the specification: a
// request runs once or is closed, and every definite outcome says which.
func linearizable(history []onceSend, requests int, runs map[string]int) bool {
	operations := make([]porcupine.Operation, 0, len(history)+requests)
	for _, sent := range history {
		operations = append(operations, porcupine.Operation{Input: sent.number, Call: sent.called, Output: sent.outcome, Return: sent.ended})
	}
	for number := range requests {
		count := onceCount{number: number, runs: runs[onceTestID(number)]}
		operations = append(operations, porcupine.Operation{Input: number, Call: math.MaxInt64 - 1, Output: count, Return: math.MaxInt64})
	}
	return porcupine.CheckOperations(onceModel(), operations)
}

func onceModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Partition: partitionByNumber,
		Init:      func() []any { return []any{onceFresh} },
		Step: func(state, _, output any) []any {
			if count, ok := output.(onceCount); ok {
				return stepCount(state.(onceState), count)
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

// stepSend returns the states that a send with the outcome may lead to. An
// unknown outcome allows every state that the ID may still reach.
func stepSend(state onceState, outcome call.Outcome) []any {
	wanted := onceRan
	switch outcome {
	case call.Unknown:
		if state == onceFresh {
			return []any{onceFresh, onceRan, onceClosed}
		}
		return []any{state}
	case call.Refused:
		wanted = onceClosed
	}
	if state == onceFresh || state == wanted {
		return []any{wanted}
	}
	return nil
}

func stepCount(state onceState, count onceCount) []any {
	ran := state == onceRan
	if (ran && count.runs == 1) || (!ran && count.runs == 0) {
		return []any{state}
	}
	return nil
}
