package rig

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// Process is an operating system process started by the rig.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// startProcess starts a program. Its output is appended to a log file in the
// rig's directory.
func startProcess(dir, name, program string, args ...string) (*Process, error) {
	logFile, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open process log")
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	// The child must not outlive the rig's process if that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = logFile.Close()
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		_ = logFile.Close()
		close(p.done)
	}()
	return p, nil
}

// PID returns the process's ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill sends SIGKILL to the process and waits until it has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// Freeze suspends the process until Resume.
func (p *Process) Freeze() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume resumes a frozen process.
func (p *Process) Resume() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, on which the process shuts down gracefully.
func (p *Process) Terminate() error { return p.cmd.Process.Signal(syscall.SIGTERM) }

// Done returns a channel that is closed when the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns the error with which the process exited. It must be called only
// after Done is closed.
func (p *Process) Err() error { return p.err }

var (
	buildOnce sync.Once
	buildDir  string
	errBuild  error
)

// Build compiles the programs that the rig runs, once per process, and
// returns the directory with the binaries.
func Build() (string, error) {
	buildOnce.Do(func() {
		buildDir, errBuild = os.MkdirTemp("", "mangomast-bin-")
		if errBuild == nil {
			errBuild = build(buildDir)
		}
	})
	return buildDir, errBuild
}

func build(dir string) error {
	const module = "github.com/mangomast/mangomast/cmd/"
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator),
		module+"mangomastd", module+"mangomast-bench")
	var output bytes.Buffer
	cmd.Stdout, cmd.Stderr = &output, &output
	return errors.Wrapf(cmd.Run(), "build programs: %s", output.String())
}

// RemoveBuild deletes the binaries built by Build. Call it before the process
// exits.
func RemoveBuild() {
	if buildDir != "" {
		_ = os.RemoveAll(buildDir)
	}
}
