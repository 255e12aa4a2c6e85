// Command mangomast is the operators' command-line client of the admin API. It
// also runs a demo fleet.
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

// Exit codes of all commands.
const (
	exitFailure  = 1
	exitUsage    = 2
	exitConflict = 3
	// exitPending means that the change is stored, but is not known to be in
	// force on every VM.
	exitPending = 4
	// exitUnknown means that the change may or may not have been made.
	exitUnknown = 5
)

// pendingError reports that a change is stored, but is not known to be in force
// on every VM.
type pendingError struct {
	reason string
}

// Error implements error.
func (e *pendingError) Error() string { return e.reason }

// globalOptions are the options that all commands have.
type globalOptions struct {
	Node  string `long:"node" env:"MANGOMAST_NODE" default:"http://127.0.0.1:8083" value-name:"URL" description:"admin address of any node; others after commas, tried if it does not answer"`
	Token string `long:"token" env:"MANGOMAST_TOKEN" description:"operator's token"`
	JSON  bool   `long:"json" description:"print JSON"`
}

// app has the options, context and output that the commands share.
type app struct {
	globalOptions
	ctx context.Context
	out io.Writer
}

func (a *app) client() *operator.Client { return operator.NewClient(a.Node, a.Token) }

// print writes the value as JSON if --json is set, and otherwise calls text.
func (a *app) print(value any, text func(io.Writer) error) error {
	if !a.JSON {
		return text(a.out)
	}
	encoder := json.NewEncoder(a.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes the command given by args and returns the exit code.
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
	return exitFailure
}

func newParser(a *app) *flags.Parser {
	parser := flags.NewNamedParser("mangomast", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Common options", "", &a.globalOptions); err != nil {
		panic(err)
	}
	addCommand(parser.Command, "demo", "Run a small fleet in this process and send it requests", &demoCommand{app: a})
	addCommand(parser.Command, "validate", "Check a document without a node", &validateCommand{app: a})
	addCommand(parser.Command, "apply", "Put a whole document in force", &applyCommand{app: a})
	addCommand(parser.Command, "edit", "Change one field, such as /organisations/beach/rate 12", &editCommand{app: a})
	addCommand(parser.Command, "show", "Print the document", &showCommand{app: a})
	addCommand(parser.Command, "history", "List past changes, newest first", &historyCommand{app: a})
	addCommand(parser.Command, "undo", "Take a past change back, as a new change", &undoCommand{app: a})
	addCommand(parser.Command, "progress", "Wait until a revision is in force", &progressCommand{app: a})
	addCommand(parser.Command, "status", "Show which revision each VM has", &statusCommand{app: a})
	key := addCommand(parser.Command, "key", "Grant and withdraw callers' keys", &struct{}{})
	addCommand(key, "grant", "Make a key for an organisation and show it once", &keyGrantCommand{app: a})
	addCommand(key, "withdraw", "Withdraw a key", &keyWithdrawCommand{app: a})
	quarantine := addCommand(parser.Command, "quarantine", "List and lift requests that crash upstreams", &struct{}{})
	addCommand(quarantine, "list", "List suspected and quarantined requests", &quarantineListCommand{app: a})
	addCommand(quarantine, "lift", "Let a quarantined request run again", &quarantineLiftCommand{app: a})
	tokens := addCommand(parser.Command, "operator", "Make operators' tokens", &struct{}{})
	addCommand(tokens, "new", "Make a token and its hash, without a node", &operatorNewCommand{app: a})
	return parser
}

func addCommand(parent *flags.Command, name, help string, command any) *flags.Command {
	added, err := parent.AddCommand(name, help, help+".", command)
	if err != nil {
		panic(err)
	}
	return added
}

// adviceError is an error that is printed below a line of advice.
type adviceError struct {
	advice string
	err    error
}

// Error implements error.
func (e *adviceError) Error() string { return e.advice + "\n" + e.err.Error() }

// Unwrap returns the error below the advice.
func (e *adviceError) Unwrap() error { return e.err }

// withAdvice prefixes findings and conflicts with a line of advice. It returns
// other errors unchanged.
func withAdvice(err error) error {
	var invalid *finding.Error
	var conflict *edit.ConflictError
	switch {
	case errors.As(err, &invalid):
		return &adviceError{"nothing was changed; correct these errors and try again:", err}
	case errors.As(err, &conflict):
		return &adviceError{"nothing was changed; check 'mangomast history' before trying again:", err}
	}
	return err
}
