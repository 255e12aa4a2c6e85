package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/edit"
	"github.com/mangomast/mangomast/internal/rig"
	"github.com/mangomast/mangomast/internal/standin"
	"github.com/mangomast/mangomast/operator"
	"github.com/mangomast/mangomast/store/etcd"
)

func init() {
	Register(Case{Name: "config", Help: "200 changes by four racing operators, answers lost, VMs killed: each in force everywhere in time", Run: runConfig})
}

const (
	operators          = 4
	operatorPrefix     = "operator-"
	changesPerOperator = 50
	// contendedFields is the number of fields that all operators change
	// concurrently.
	contendedFields       = 6
	meanOperatorPause     = 300 * time.Millisecond
	configDropAnswerEvery = 4
	killInterval          = 4 * time.Second
	killDowntime          = 1 * time.Second
	// maxInForce is the required bound on the time until a change is in force on
	// every VM.
	maxInForce = 4 * time.Second
)

// configFigures are the figures of the config case.
type configFigures struct {
	Committed int `json:"committed"`
	Conflicts int `json:"conflicts"`
	// ServedLate counts, over all changes, the VMs that still served with an
	// older revision after maxInForce.
	ServedLate int `json:"served_late"`
	// Reverts counts the times that a VM returned to an older revision.
	Reverts int `json:"reverts"`
	Kills   int `json:"kills"`
	// InForceP50Ms and InForceMaxMs are the time from the response to the
	// operator until all VMs that stayed up have the change.
	InForceP50Ms int64 `json:"in_force_p50_ms"`
	InForceMaxMs int64 `json:"in_force_max_ms"`
	// AcceptedP50Ms and AcceptedMaxMs are the time until all nodes have
	// recorded that the change is in force everywhere.
	AcceptedP50Ms int64 `json:"accepted_p50_ms"`
	AcceptedMaxMs int64 `json:"accepted_max_ms"`
	// Lost counts the committed changes that the stored history lacks or has
	// under another revision, plus the difference between the numbers of stored
	// and committed changes.
	Lost         int  `json:"lost"`
	Linearizable bool `json:"linearizable"`
	// ConsoleRaces counts the races between two operators at the consoles of
	// two nodes; ConsoleDecided counts those in which one change was committed
	// and the other operator was shown the conflict.
	ConsoleRaces   int `json:"console_races"`
	ConsoleDecided int `json:"console_decided"`
}

func (f *configFigures) holds() bool {
	return f.Committed > 0 && f.Committed+f.Conflicts == operators*changesPerOperator && f.ServedLate == 0 && f.Reverts == 0 &&
		f.Lost == 0 && f.Linearizable && f.ConsoleRaces > 0 && f.ConsoleDecided == f.ConsoleRaces && f.InForceMaxMs <= maxInForce.Milliseconds()
}

// committed is a change whose commit was reported to the operator.
type committed struct {
	revision int64
	number   uint64
	at       time.Time
}

// fieldInput is an operation on a field: a compare-and-swap from Old to New, or
// a read if New is empty.
type fieldInput struct {
	Field, Old, New string
}

// fieldOutput is the result of an operation as reported to the operator. Done is
// set if the change was committed; Value is the field's value afterwards.
type fieldOutput struct {
	Done  bool
	Value string
}

// configRun is one run of the config case.
type configRun struct {
	fleet  *rig.Rig
	editor *edit.Editor

	mu         sync.Mutex
	operations []porcupine.Operation
	committed  []committed
	conflicts  int
}

func runConfig(ctx context.Context, env *Env) (*Report, error) {
	doc := &config.Document{}
	AddOrganisations(doc, contendedFields, 100, 100)
	token, hash := operator.NewToken()
	doc.Operators = []config.Operator{{ID: "night-shift", Hash: hash}}
	AddService(doc, "fares", nil)
	nodes := SpreadVMs("fares", 16, 10, standin.Behaviour{})
	AddDomains(doc, nodes)
	fleet, err := rig.Start(ctx, rig.Options{Nodes: nodes, Document: doc})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	client := etcd.New(etcd.Options{Endpoints: []string{fleet.StoreURL}})
	run := &configRun{fleet: fleet, editor: edit.NewEditor(client, rig.StorePrefix, clockwork.NewRealClock())}
	figures, err := run.run(ctx, env)
	if err != nil {
		return nil, err
	}
	figures.ConsoleRaces = consoleRaces
	if figures.ConsoleDecided, err = raceConsoles(ctx, fleet, token); err != nil {
		return nil, err
	}
	return &Report{Holds: figures.holds(), Figures: figures, Header: []string{"what", "figure"}, Rows: [][]string{
		{"changes committed, conflicts shown", fmt.Sprintf("%d, %d", figures.Committed, figures.Conflicts)},
		{"races at two consoles, one taken and one shown the conflict", fmt.Sprintf("%d, %d", figures.ConsoleRaces, figures.ConsoleDecided)},
		{"VMs killed", fmt.Sprint(figures.Kills)},
		{"lost; reverts; served late", fmt.Sprintf("%d; %d; %d", figures.Lost, figures.Reverts, figures.ServedLate)},
		{"history linearizable", fmt.Sprint(figures.Linearizable)},
		{"in force on all VMs, p50 and max ms", fmt.Sprintf("%d, %d", figures.InForceP50Ms, figures.InForceMaxMs)},
		{"known to be in force, p50 and max ms", fmt.Sprintf("%d, %d", figures.AcceptedP50Ms, figures.AcceptedMaxMs)},
	}}, nil
}

func (r *configRun) run(ctx context.Context, env *Env) (*configFigures, error) {
	if err := r.fleet.SetStoreFaults(ctx, standin.Faults{DropAnswerEvery: configDropAnswerEvery}); err != nil {
		return nil, err
	}
	poller := startRevisionPoller(ctx, r.fleet)
	killer := startKiller(ctx, env, r.fleet, poller)
	var group sync.WaitGroup
	errs := make(chan error, operators)
	for i := range operators {
		random := rand.New(rand.NewPCG(env.Seed, uint64(i)))
		group.Go(func() { errs <- r.makeChanges(ctx, i, random) })
	}
	group.Wait()
	kills, err := killer.stop()
	for range operators {
		if failed := <-errs; err == nil {
			err = failed
		}
	}
	if err != nil {
		poller.stop()
		return nil, err
	}
	time.Sleep(maxInForce + time.Second)
	poller.stop()
	figures := &configFigures{Committed: len(r.committed), Conflicts: r.conflicts, Kills: kills}
	poller.evaluate(r.committed, figures)
	return figures, r.checkHistory(ctx, figures)
}

// makeChanges makes the changes of one operator, each to a random contended
// field.
func (r *configRun) makeChanges(ctx context.Context, clientID int, random *rand.Rand) error {
	for i := range changesPerOperator {
		org := 1 + random.IntN(contendedFields)
		field := fmt.Sprintf("/organisations/org-%d/rate", org)
		value := fmt.Sprint(1000 + clientID*changesPerOperator + i)
		pause := time.Duration(random.Int64N(int64(2 * meanOperatorPause)))
		if err := r.change(ctx, clientID, field, value, pause); err != nil {
			return err
		}
	}
	return nil
}

// change reads a field, like an operator who opens the form, and commits a
// change to it after the pause.
func (r *configRun) change(ctx context.Context, clientID int, field, value string, pause time.Duration) error {
	old, err := r.read(ctx, clientID, field)
	if err != nil {
		return err
	}
	time.Sleep(pause)
	called := time.Now()
	change, err := r.editor.Commit(ctx, edit.Proposal{
		Author: fmt.Sprint(operatorPrefix, clientID),
		Edits:  []edit.Edit{{Field: field, Old: json.RawMessage(old), New: json.RawMessage(value)}},
	})
	returned := time.Now()
	output := fieldOutput{Done: true, Value: value}
	var conflict *edit.ConflictError
	switch {
	case errors.As(err, &conflict):
		output = fieldOutput{Value: string(conflict.Conflicts[0].Theirs)}
	case err != nil:
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record(clientID, fieldInput{Field: field, Old: old, New: value}, output, called, returned)
	if output.Done {
		r.committed = append(r.committed, committed{revision: change.Revision, number: change.Number, at: returned})
	} else {
		r.conflicts++
	}
	return nil
}

func (r *configRun) read(ctx context.Context, clientID int, field string) (string, error) {
	called := time.Now()
	current, err := r.editor.Read(ctx)
	if err != nil {
		return "", err
	}
	value, err := edit.Value(current.Document, field)
	if err != nil {
		return "", err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record(clientID, fieldInput{Field: field}, fieldOutput{Value: string(value)}, called, time.Now())
	return string(value), nil
}

func (r *configRun) record(clientID int, in fieldInput, out fieldOutput, called, returned time.Time) {
	r.operations = append(r.operations, porcupine.Operation{
		ClientId: clientID, Input: in, Output: out, Call: called.UnixNano(), Return: returned.UnixNano(),
	})
}

// checkHistory checks that the stored history contains every committed change
// exactly once, and that the results reported to the operators are
// linearizable.
func (r *configRun) checkHistory(ctx context.Context, figures *configFigures) error {
	for i := range contendedFields {
		if _, err := r.read(ctx, operators, fmt.Sprintf("/organisations/org-%d/rate", i+1)); err != nil {
			return err
		}
	}
	history, err := r.editor.History(ctx)
	if err != nil {
		return err
	}
	// The initial document is also recorded as a change; keep only those of the
	// operators.
	history = slices.DeleteFunc(history, func(c *edit.Change) bool { return !strings.HasPrefix(c.Author, operatorPrefix) })
	stored := map[uint64]int64{}
	for _, change := range history {
		stored[change.Number] = change.Revision
	}
	for _, c := range r.committed {
		if stored[c.number] != c.revision {
			figures.Lost++
		}
	}
	if len(history) != len(r.committed) {
		figures.Lost += max(len(history), len(r.committed)) - min(len(history), len(r.committed))
	}
	figures.Linearizable = porcupine.CheckOperations(fieldModel(), r.operations)
	return nil
}

// fieldModel models each field as a register with compare-and-swap. A conflict
// is valid only while the value differs from the one that the operator read.
// Operators never write the same value, so a differing value means that the
// field was changed after that read.
func fieldModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byField := map[string][]porcupine.Operation{}
			for _, op := range history {
				field := op.Input.(fieldInput).Field
				byField[field] = append(byField[field], op)
			}
			parts := make([][]porcupine.Operation, 0, len(byField))
			for _, part := range byField {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() any { return "100" },
		Step: func(state, input, output any) (bool, any) {
			in, out := input.(fieldInput), output.(fieldOutput)
			switch {
			case out.Done:
				return state == in.Old, in.New
			case in.New != "":
				return state == out.Value && state != in.Old, state
			}
			return state == out.Value, state
		},
	}
}
