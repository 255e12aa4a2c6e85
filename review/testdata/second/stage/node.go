package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// program and template are what the deploy file names, relative to the repository.
const (
	program  = "target/mangomast-sidecar"
	template = "deploy/settings.tmpl"
)

// node is one VM's node.
type node struct {
	name, ip, zone, service string
	// outbound, readiness and control are the node's addresses for clients, probes and
	// the server beside it, and app that of this server.
	outbound, readiness, control, app string

	settings string
	dir      string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// newNode chooses free ports and writes the settings file as the platform does.
func newNode(dir, name, ip, zone, service, storeAddress string) (*node, error) {
	ports, err := freePorts(ip, 7)
	if err != nil {
		return nil, err
	}
	n := &node{
		name: name, ip: ip, zone: zone, service: service, dir: dir,
		outbound: join(ip, ports[1]), readiness: join(ip, ports[2]), control: join(ip, ports[3]), app: join(ip, ports[6]),
		settings: filepath.Join(dir, name+".json"),
	}
	values := []string{"$NAME", name, "$IP", ip, "$ZONE", zone, "$SERVICE", service, "$STORE", storeAddress, "$APP", n.app}
	for i, port := range ports {
		values = append(values, fmt.Sprintf("$P%d", i), fmt.Sprint(port))
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(strings.NewReplacer(values...).Replace(settingsFile)), &fields); err != nil {
		return nil, err
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	return n, os.WriteFile(n.settings, []byte(render(string(text), fields)), 0o600)
}

func join(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// freePorts returns n ports that are free on the IP address.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z0-9.-]+)\}\}(.*?)\{\{/([a-z0-9.-]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z0-9.-]+)(\|json)?\}\}`)
)

// render fills in the template: the sections and placeholders that the project's
// template uses.
func render(text string, fields map[string]any) string {
	text = section.ReplaceAllStringFunc(text, func(match string) string {
		parts := section.FindStringSubmatch(match)
		if lookUp(fields, parts[1]) == nil {
			return ""
		}
		return parts[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(match string) string {
		parts := placeholder.FindStringSubmatch(match)
		value := lookUp(fields, parts[1])
		if parts[2] != "" {
			data, _ := json.Marshal(value)
			return string(data)
		}
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	})
}

// lookUp returns a field by its path; entries of lists are "name=value" texts or are
// named by their index.
func lookUp(fields any, path string) any {
	for _, part := range strings.Split(path, ".") {
		switch typed := fields.(type) {
		case map[string]any:
			fields = typed[part]
		case []any:
			fields = entryOf(typed, part)
		default:
			return nil
		}
	}
	return fields
}

func entryOf(list []any, name string) any {
	for i, entry := range list {
		if fmt.Sprint(i) == name {
			return entry
		}
		text, _ := entry.(string)
		if value, ok := strings.CutPrefix(text, name+"="); ok {
			return value
		}
	}
	return nil
}

// start starts the node's process with the command of the deploy file.
func (n *node) start() error {
	logs, logsIn, err := os.Pipe()
	if err != nil {
		return err
	}
	defer logsIn.Close()
	file, err := os.OpenFile(filepath.Join(n.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	go collect(logs, file)
	n.cmd = exec.Command(program, "--settings", n.settings)
	n.cmd.Env = append(os.Environ(), names["settingsvar"]+"="+n.settings)
	n.cmd.Stdout, n.cmd.Stderr = logsIn, logsIn
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.exited = exited
	cmd := n.cmd
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

const (
	// logBytesPerSecond is how fast the platform takes a node's log: as fast as the
	// machine's link of 1,000 Mbit/s could carry it away.
	logBytesPerSecond = 125e6
	// maxLogFile is how much of a log is kept.
	maxLogFile = 8 << 20
)

// collect takes a node's log until the node ends, and keeps the beginning of it.
func collect(logs io.ReadCloser, file io.WriteCloser) {
	defer logs.Close()
	defer file.Close()
	buffer, kept := make([]byte, 256<<10), 0
	for {
		started := time.Now()
		n, err := logs.Read(buffer)
		if err != nil {
			return
		}
		if kept < maxLogFile {
			_, _ = file.Write(buffer[:n])
			kept += n
		}
		spinUntil(started.Add(time.Duration(float64(n) / logBytesPerSecond * float64(time.Second))))
	}
}

// spinUntil waits for a time that may be closer than the granularity of timers.
func spinUntil(t time.Time) {
	for time.Now().Before(t) {
		runtime.Gosched()
	}
}

// residentBytes returns the memory of the node's process; 0 if it has ended.
func (n *node) residentBytes() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		var kilobytes int64
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); err == nil {
			return kilobytes << 10
		}
	}
	return 0
}

// running reports whether the process has not ended.
func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

func (n *node) kill() {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	<-n.exited
}
