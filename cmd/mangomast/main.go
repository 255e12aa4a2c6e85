// Command mangomast is the operators' command line, and a demo for newcomers.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/edit"
	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/operator"
)

// Exit codes of every command.
const (
	exitRefused  = 1
	exitUsage    = 2
	exitConflict = 3
	// exitPending: the change is made, but not known to be in force everywhere.
	exitPending = 4
	// exitUnknown: the change may or may not have been made.
	exitUnknown = 5
)

// pendingError means that a change is kept by the store, but is not known to be
// in force on every VM.
type pendingError struct {
	reason string
}

// Error implements error.
func (e *pendingError) Error() string { return e.reason }

// globalOptions are the options of every command.
type globalOptions struct {
	Node  string `long:"node" env:"MANGOMAST_NODE" default:"http://127.0.0.1:8083" value-name:"URL" description:"admin address of any node; others after commas, tried if it does not answer"`
	Token string `long:"token" env:"MANGOMAST_TOKEN" description:"operator's token"`
	JSON  bool   `long:"json" description:"print JSON"`
}

// app is what the commands share.
type app struct {
	globalOptions
	ctx context.Context
	out io.Writer
}

func (a *app) client() *operator.Client { return operator.NewClient(a.Node, a.Token) }

// print writes the value as JSON if that was asked for, and the text if not.
func (a *app) print(value any, text func(io.Writer) error) error {
	if !a.JSON {
		return text(a.out)
	}
	encoder := json.NewEncoder(a.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes a command line and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	a := &app{ctx: ctx, out: out}
	_, err := newParser(a).ParseArgs(args)
	if err == nil {
		return 0
	}
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(out, err)
		return 0
	}
	_, _ = fmt.Fprintln(errOut, err)
	if usage != nil {
		_, _ = fmt.Fprintln(errOut, "run the command with --help to see what it takes")
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var usage *flags.Error
	var conflict *edit.ConflictError
	var pending *pendingError
	var unknown *operator.OutcomeUnknownError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &pending):
		return exitPending
	case errors.As(err, &unknown):
		return exitUnknown
	}
	return exitRefused
}

func newParser(a *app) *flags.Parser {
	parser := flags.NewNamedParser("mangomast", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Common options", "", &a.globalOptions); err != nil {
		panic(err)
	}
	add(parser.Command, "demo", "Run a small fleet in this process and send it requests", &demoCommand{app: a})
	add(parser.Command, "validate", "Check a document without a node", &validateCommand{app: a})
	add(parser.Command, "apply", "Put a whole document in force", &applyCommand{app: a})
	add(parser.Command, "edit", "Change one field, such as /organisations/beach/rate 12", &editCommand{app: a})
	add(parser.Command, "show", "Print the document", &showCommand{app: a})
	add(parser.Command, "history", "List past changes, newest first", &historyCommand{app: a})
	add(parser.Command, "undo", "Take a past change back, as a new change", &undoCommand{app: a})
	add(parser.Command, "progress", "Wait until a revision is in force", &progressCommand{app: a})
	add(parser.Command, "status", "Show which revision each VM has", &statusCommand{app: a})
	key := add(parser.Command, "key", "Grant and withdraw callers' keys", &struct{}{})
	add(key, "grant", "Make a key for an organisation and show it once", &keyGrantCommand{app: a})
	add(key, "withdraw", "Withdraw a key", &keyWithdrawCommand{app: a})
	poison := add(parser.Command, "quarantine", "List and lift requests that crash upstreams", &struct{}{})
	add(poison, "list", "List suspected and quarantined requests", &quarantineListCommand{app: a})
	add(poison, "lift", "Let a quarantined request run again", &quarantineLiftCommand{app: a})
	tokens := add(parser.Command, "operator", "Make operators' tokens", &struct{}{})
	add(tokens, "new", "Make a token and its hash, without a node", &operatorNewCommand{app: a})
	return parser
}

func add(parent *flags.Command, name, help string, command any) *flags.Command {
	added, err := parent.AddCommand(name, help, help+".", command)
	if err != nil {
		panic(err)
	}
	return added
}

// explainedError is an error below a line that says what to do.
type explainedError struct {
	advice string
	err    error
}

// Error implements error.
func (e *explainedError) Error() string { return e.advice + "\n" + e.err.Error() }

// Unwrap returns the error that is explained.
func (e *explainedError) Unwrap() error { return e.err }

// explain prefixes findings and conflicts with a line that says what to do.
func explain(err error) error {
	var invalid *finding.Error
	var conflict *edit.ConflictError
	switch {
	case errors.As(err, &invalid):
		return &explainedError{"nothing was changed; mend these and try again:", err}
	case errors.As(err, &conflict):
		return &explainedError{"nothing was changed; look at 'mangomast history', then decide again:", err}
	}
	return err
}
