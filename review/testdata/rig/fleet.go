package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"text/template"
	"time"
)

const (
	// nodeProgram and settingsTemplate are those of the deploy file, relative to
	// the root of the repository.
	nodeProgram      = "target/mangomast-sidecar"
	settingsTemplate = "deploy/settings.tmpl"
	beatInterval     = 1500 * time.Millisecond
	readyTimeout     = 15 * time.Second
)

// fleet is a store, servers and nodes.
type fleet struct {
	rec   *record
	dir   string
	store *store
	// version is that of the last configuration.
	version int
	vms     []*vm
	closed  atomic.Bool
}

// vm is a machine with its server and its node. fields.tmpl uses its exported
// fields.
type vm struct {
	fleet  *fleet
	server *server
	// beating is true while the server sends heartbeats.
	beating   atomic.Bool
	Name      string
	IP        string
	Zone      string
	Service   string
	App       string
	Platform  string
	Inbound   string
	Outbound  string
	Readiness string
	Control   string
	MeshPort  int
	AdminPort int
	Bootstrap bool

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	started time.Time
	logs    *os.File
}

func newFleet(rec *record) *fleet { return &fleet{rec: rec} }

// startStore makes the folder of the settings and starts the store.
func (f *fleet) startStore() error {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return err
	}
	f.dir = dir
	listener, err := listen("127.0.0.1")
	if err != nil {
		return err
	}
	f.store = startStore(listener)
	return nil
}

// configure writes a new version of the configuration with the keys.
func (f *fleet) configure(keys ...string) error {
	text, err := files.ReadFile("config.tmpl")
	if err != nil {
		return err
	}
	tmpl, err := template.New("config").Parse(string(text))
	if err != nil {
		return err
	}
	f.version += 3
	var out bytes.Buffer
	if err := tmpl.Execute(&out, map[string]any{"Version": f.version, "Keys": keys}); err != nil {
		return err
	}
	f.store.put(names.ConfigKey, out.Bytes())
	f.rec.note("the operator writes version %08x with the keys %v; the store acknowledges it", f.version, keys)
	return nil
}

// addVM adds a machine with a server, which sends heartbeats, and starts its
// node. platform is the store's address as the node sees it.
func (f *fleet) addVM(zone string, slots int, work time.Duration, platform string) (*vm, error) {
	i := len(f.vms)
	v := &vm{fleet: f, Zone: zone, Service: "tills", IP: fmt.Sprintf("127.0.40.%d", 11+i), Platform: platform, Bootstrap: true}
	v.Name = fmt.Sprintf("sidecar-%s-%d", zone, i)
	listener, err := listen(v.IP)
	if err != nil {
		return nil, err
	}
	v.App = listener.Addr().String()
	addresses, err := freeAddresses(v.IP, 6)
	if err != nil {
		return nil, err
	}
	v.Inbound, v.Outbound, v.Readiness, v.Control = addresses[0], addresses[1], addresses[2], addresses[3]
	v.MeshPort, v.AdminPort = port(addresses[4]), port(addresses[5])
	v.server = startServer(listener, fmt.Sprintf("i-%s-%d", zone, i), v.Service, slots, work, f.rec)
	v.logs, err = os.Create(filepath.Join(f.dir, v.Name+".log"))
	if err != nil {
		return nil, err
	}
	f.vms = append(f.vms, v)
	v.beating.Store(true)
	go v.beat()
	return v, v.start()
}

// listen listens on a free port of an IP, outside the range from which outgoing
// connections get theirs.
func listen(ip string) (net.Listener, error) {
	const lowest, ports, tries = 20000, 10000, 100
	for range tries {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, lowest+rand.IntN(ports)))
		if err == nil {
			return listener, nil
		}
	}
	return nil, errors.New("no free port")
}

// freeAddresses returns free addresses of an IP.
func freeAddresses(ip string, n int) ([]string, error) {
	var addresses []string
	for range n {
		listener, err := listen(ip)
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

func port(address string) int {
	_, text, _ := net.SplitHostPort(address)
	n, _ := strconv.Atoi(text)
	return n
}

// beat sends the server's heartbeats to its node.
func (v *vm) beat() {
	for ; !v.fleet.closed.Load(); time.Sleep(beatInterval) {
		if v.beating.Load() && v.server.crashed.Load() == nil {
			path, body := v.server.heartbeat()
			if !post(v.Control, path, body) {
				// The server tries again soon until its node answers.
				time.Sleep(beatInterval / 5)
			}
		}
	}
}

// settings writes the settings file from the deploy file's template.
func (v *vm) settings() (string, error) {
	text, err := files.ReadFile("fields.tmpl")
	if err != nil {
		return "", err
	}
	tmpl, err := template.New("fields").Parse(string(text))
	if err != nil {
		return "", err
	}
	var data bytes.Buffer
	if err := tmpl.Execute(&data, v); err != nil {
		return "", err
	}
	var fields map[string]any
	if err := json.Unmarshal(data.Bytes(), &fields); err != nil {
		return "", err
	}
	own, err := os.ReadFile(settingsTemplate)
	if err != nil {
		return "", err
	}
	rendered, err := render(string(own), fields)
	if err != nil {
		return "", err
	}
	file := filepath.Join(v.fleet.dir, v.Name+".json")
	return file, os.WriteFile(file, []byte(rendered), 0o600)
}

// start starts the machine's node.
func (v *vm) start() error {
	file, err := v.settings()
	if err != nil {
		return err
	}
	cmd := exec.Command(nodeProgram, "--settings", file)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names.SettingsVariable + "=" + file}
	cmd.Stdout, cmd.Stderr = v.logs, v.logs
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.mu.Lock()
	v.process, v.exited, v.started, v.Bootstrap = cmd, exited, time.Now(), false
	v.mu.Unlock()
	v.fleet.rec.note("node %s starts", v.Name)
	go func() {
		err := cmd.Wait()
		v.fleet.rec.note("node %s has ended: %v", v.Name, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the machine's node.
func (v *vm) signal(sig syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fleet.rec.note("node %s gets signal %q", v.Name, sig)
	_ = v.process.Process.Signal(sig)
}

// ready reports whether the node answers the readiness probe with 200.
func (v *vm) ready() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + v.Readiness + names.Ready)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitServing waits until all nodes are ready and serve requests.
func (f *fleet) awaitServing(key string) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		all := true
		for _, v := range f.vms {
			all = all && v.ready() && send(f.rec, v.Outbound, http.MethodGet, "/read/start", key, "").status == http.StatusOK
		}
		if all {
			return nil
		}
	}
	return errors.New("the nodes do not serve")
}

// arrivals returns the requests that reached the servers.
func (f *fleet) arrivals() []arrival {
	var all []arrival
	for _, v := range f.vms {
		all = append(all, v.server.seen()...)
	}
	return all
}

// close ends the nodes and removes their files.
func (f *fleet) close() {
	f.closed.Store(true)
	for _, v := range f.vms {
		v.mu.Lock()
		process, exited := v.process, v.exited
		v.mu.Unlock()
		if process != nil {
			_ = process.Process.Kill()
			<-exited
		}
		v.server.exit()
	}
	// The logs of the nodes help to trace a case.
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Printf("the nodes' logs are in %s\n", f.dir)
		return
	}
	if f.dir != "" {
		_ = os.RemoveAll(f.dir)
	}
}
