// Package rig runs a small fleet of real processes on loopback, with a proxy
// that injects faults in front of every listener. Tests and the bench share it.
//
// Each node has an IP number of its own in 127.0.0.0/8 and dials from it, so
// the proxy knows both ends of a connection.
package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/mangomast/mangomast/config"
	"github.com/mangomast/mangomast/edit"
	"github.com/mangomast/mangomast/internal/freeport"
	"github.com/mangomast/mangomast/internal/standin"
	"github.com/mangomast/mangomast/membership"
	"github.com/mangomast/mangomast/operator"
	"github.com/mangomast/mangomast/settings"
	"github.com/mangomast/mangomast/store/etcd"
)

const (
	fleetSecret = "a secret for tests on one machine"
	// StorePrefix starts every key in the rig's store.
	StorePrefix = "/mangomast/"
	readyPoll   = 50 * time.Millisecond
	// StoreListener is the store's name in rules.
	StoreListener = "store"
)

// NodeSpec describes one VM: its node and its upstream.
type NodeSpec struct {
	VM            string
	FailureDomain string
	Region        string
	Service       string
	Slots         int
	Connections   int
	Behaviour     standin.Behaviour
	// Modules holds settings of the node's modules by ID.
	Modules map[string]json.RawMessage
}

// Options are the inputs of Start.
type Options struct {
	Nodes    []NodeSpec
	Document *config.Document
	LogLevel string
	// WithoutSeeds leaves the seeds out of the nodes' settings.
	WithoutSeeds bool
}

// Node is one running VM.
type Node struct {
	Spec NodeSpec
	// IP is the address that the node listens on and dials from.
	IP string
	// Callers, Mesh, Egress and Admin are the node's own addresses; Callers
	// and Mesh are reached through the proxy at CallersProxy and MeshProxy.
	Callers, Mesh, Egress, Admin string
	CallersProxy, MeshProxy      string
	// UpstreamAddress is the upstream's own address.
	UpstreamAddress string

	Process  *Process
	Upstream *Process
	settings string
}

// Rig is a running fleet.
type Rig struct {
	Network *Network
	Nodes   []*Node
	Store   *Process
	// StoreURL is the store's address past the proxy.
	StoreURL string
	// StoreAddress is the store's address behind the proxy.
	StoreAddress string

	dir      string
	binaries string
	opts     Options
	block    int
}

// Start builds and starts the store, the nodes and their upstreams, puts the
// document in the store and waits until every node serves it.
func Start(ctx context.Context, opts Options) (*Rig, error) {
	binaries, err := Build()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "mangomast-rig-")
	if err != nil {
		return nil, errors.Wrap(err, "make rig folder")
	}
	r := &Rig{Network: NewNetwork(), dir: dir, binaries: binaries, opts: opts, block: 1 + rand.IntN(250)}
	if err := r.start(ctx); err != nil {
		logs := r.Logs()
		r.Close()
		return nil, errors.Wrapf(err, "start rig; logs:\n%s", logs)
	}
	return r, nil
}

func (r *Rig) start(ctx context.Context) error {
	if err := r.startStore(); err != nil {
		return err
	}
	if err := r.Apply(ctx, r.opts.Document); err != nil {
		return err
	}
	for i, spec := range r.opts.Nodes {
		node, err := r.place(i, spec)
		if err != nil {
			return err
		}
		r.Nodes = append(r.Nodes, node)
	}
	for _, node := range r.Nodes {
		if err := r.writeSettings(node); err != nil {
			return err
		}
		if err := r.StartUpstream(node); err != nil {
			return err
		}
		if err := r.StartNode(node); err != nil {
			return err
		}
	}
	return r.WaitReady(ctx)
}

func (r *Rig) startStore() error {
	ip := r.ip(0, 0)
	addresses, err := freeport.Addresses(ip, 2)
	if err != nil {
		return err
	}
	r.StoreURL = "http://" + addresses[0]
	r.StoreAddress = addresses[1]
	r.Store, err = startProcess(r.dir, "store", r.bench(), "standin-store", "--listen", addresses[0])
	if err != nil {
		return err
	}
	if err := waitListening(addresses[0]); err != nil {
		return err
	}
	return r.Network.Forward(StoreListener, addresses[1], addresses[0])
}

func (r *Rig) bench() string { return filepath.Join(r.binaries, "mangomast-bench") }

func (r *Rig) ip(group, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", r.block, group, host+1)
}

// place chooses the addresses of a node and starts its proxies.
func (r *Rig) place(index int, spec NodeSpec) (*Node, error) {
	ip := r.ip(1+index/200, index%200)
	addresses, err := freeport.Addresses(ip, 7)
	if err != nil {
		return nil, err
	}
	node := &Node{
		Spec: spec, IP: ip,
		Callers: addresses[0], Mesh: addresses[1], Egress: addresses[2], Admin: addresses[3],
		CallersProxy: addresses[4], MeshProxy: addresses[5], UpstreamAddress: addresses[6],
	}
	if err := r.Network.Forward(spec.VM+"/mesh", node.MeshProxy, node.Mesh); err != nil {
		return nil, err
	}
	return node, r.Network.Forward(spec.VM+"/callers", node.CallersProxy, node.Callers)
}

// maxSeeds bounds the seeds written into each node's settings.
const maxSeeds = 3

func (r *Rig) writeSettings(node *Node) error {
	s := settings.Node{
		VM: node.Spec.VM, FailureDomain: node.Spec.FailureDomain, Region: node.Spec.Region,
		FleetSecret: fleetSecret,
		Listen:      settings.Listen{Callers: node.Callers, Mesh: node.Mesh, Egress: node.Egress, Admin: node.Admin},
		Advertise:   settings.Advertise{Callers: node.CallersProxy, Mesh: node.MeshProxy},
		Store:       settings.Store{Endpoints: []string{"http://" + r.StoreAddress}, Prefix: StorePrefix},
		LogLevel:    r.opts.LogLevel,
		Modules:     node.Spec.Modules,
	}
	for _, other := range r.Nodes[:min(len(r.Nodes), r.seedCount())] {
		s.Seeds = append(s.Seeds, other.MeshProxy)
	}
	data, err := json.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	node.settings = filepath.Join(r.dir, node.Spec.VM+".json")
	return errors.Wrap(os.WriteFile(node.settings, data, 0o600), "write settings")
}

func (r *Rig) seedCount() int {
	if r.opts.WithoutSeeds {
		return 0
	}
	return maxSeeds
}

// StartNode starts a node's process, or starts it again.
func (r *Rig) StartNode(node *Node) error {
	p, err := startProcess(r.dir, node.Spec.VM, filepath.Join(r.binaries, "mangomastd"), "--settings", node.settings)
	node.Process = p
	return err
}

// StartUpstream starts a node's upstream, or starts it again.
func (r *Rig) StartUpstream(node *Node) error {
	if node.Spec.Service == "" {
		return nil
	}
	behaviour, err := json.Marshal(node.Spec.Behaviour)
	if err != nil {
		return errors.Wrap(err, "encode behaviour")
	}
	p, err := startProcess(r.dir, node.Spec.VM+"-upstream", r.bench(), "standin-upstream",
		"--listen", node.UpstreamAddress, "--egress", "http://"+node.Egress,
		"--service", node.Spec.Service, "--slots", strconv.Itoa(node.Spec.Slots),
		"--connections", strconv.Itoa(node.Spec.Connections), "--behaviour", string(behaviour),
		"--journal", r.journalFile(node))
	node.Upstream = p
	return err
}

// Apply writes the document into the store, past the proxy.
func (r *Rig) Apply(ctx context.Context, doc *config.Document) error {
	backend := etcd.New(etcd.Options{Endpoints: []string{r.StoreURL}})
	_, err := edit.NewEditor(backend, StorePrefix, clockwork.NewRealClock()).Replace(ctx, doc, "rig")
	return err
}

// SetStoreFaults changes how the store misbehaves.
func (r *Rig) SetStoreFaults(ctx context.Context, f standin.Faults) error {
	return postJSON(ctx, r.StoreURL+standin.PathFaults, f)
}

// StoreCounts returns the calls that the store has seen.
func (r *Rig) StoreCounts(ctx context.Context) (standin.Counts, error) {
	var counts standin.Counts
	err := getJSON(ctx, r.StoreURL+standin.PathCounts, &counts)
	return counts, err
}

// SetBehaviour changes how a node's upstream serves requests.
func (r *Rig) SetBehaviour(ctx context.Context, node *Node, b standin.Behaviour) error {
	return postJSON(ctx, "http://"+node.UpstreamAddress+standin.PathBehaviour, b)
}

// LeaveUpstream makes a node's upstream announce that it is leaving.
func (r *Rig) LeaveUpstream(ctx context.Context, node *Node) error {
	return postJSON(ctx, "http://"+node.UpstreamAddress+standin.PathLeave, nil)
}

// Report returns what a node's upstream has seen since it was started.
func (r *Rig) Report(ctx context.Context, node *Node) (standin.Report, error) {
	var report standin.Report
	err := getJSON(ctx, "http://"+node.UpstreamAddress+standin.PathReport, &report)
	return report, err
}

// Status returns a node's view of the fleet.
func (r *Rig) Status(ctx context.Context, node *Node) (operator.Status, error) {
	var status operator.Status
	err := getJSON(ctx, "http://"+node.Admin+operator.PathStatus, &status)
	return status, err
}

// OwnStatus returns what a node says of itself alone, which is quick.
func (r *Rig) OwnStatus(ctx context.Context, node *Node) (operator.Status, error) {
	var status operator.Status
	err := getJSON(ctx, "http://"+node.Admin+operator.PathStatus+"?members=no", &status)
	return status, err
}

// WaitReady waits until every node knows every other and has configuration.
func (r *Rig) WaitReady(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, node := range r.Nodes {
		group.Go(func() error { return r.waitNode(ctx, node) })
	}
	return group.Wait()
}

func (r *Rig) waitNode(ctx context.Context, node *Node) error {
	for {
		status, err := r.Status(ctx, node)
		if err == nil && status.Revision > 0 && status.Fresh && status.Owned && len(status.Members) >= len(r.Nodes) && r.allReady(status) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("node %s is not ready: %+v, %v", node.Spec.VM, status, err)
		case <-node.Process.Done():
			return errors.Errorf("node %s ended: %v", node.Spec.VM, node.Process.Err())
		case <-time.After(readyPoll):
		}
	}
}

// allReady reports whether every VM with an upstream takes work.
func (r *Rig) allReady(status operator.Status) bool {
	serves := map[string]bool{}
	for _, node := range r.Nodes {
		serves[node.Spec.VM] = node.Spec.Service != ""
	}
	for _, entry := range status.Members {
		if serves[entry.VM] && entry.State != membership.Ready {
			return false
		}
	}
	return true
}

// Logs returns the last part of every process's output.
func (r *Rig) Logs() string {
	const tail = 2000
	var all bytes.Buffer
	files, _ := filepath.Glob(filepath.Join(r.dir, "*.log"))
	for _, file := range files {
		data, _ := os.ReadFile(file)
		if len(data) > tail {
			data = data[len(data)-tail:]
		}
		fmt.Fprintf(&all, "--- %s\n%s\n", filepath.Base(file), data)
	}
	return all.String()
}

// LogFile returns the path of a process's output.
func (r *Rig) LogFile(name string) string { return filepath.Join(r.dir, name+".log") }

// Close ends every process and removes the rig's folder.
func (r *Rig) Close() {
	var group errgroup.Group
	for _, node := range r.Nodes {
		for _, p := range []*Process{node.Process, node.Upstream} {
			if p != nil {
				group.Go(func() error { p.Kill(); return nil })
			}
		}
	}
	_ = group.Wait()
	if r.Store != nil {
		r.Store.Kill()
	}
	r.Network.Close()
	_ = os.RemoveAll(r.dir)
}

func waitListening(address string) error {
	const attempts = 200
	for range attempts {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			return conn.Close()
		}
		time.Sleep(readyPoll)
	}
	return errors.Errorf("nothing listens on %s", address)
}

func getJSON(ctx context.Context, url string, target any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	return doJSON(req, target)
}

func postJSON(ctx context.Context, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	return doJSON(req, nil)
}

func doJSON(req *http.Request, target any) error {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, req.URL.Path)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s answered %s", req.URL.Path, resp.Status)
	}
	if target == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(target), req.URL.Path)
}

// RegionOf returns the region of a node by its IP number, its VM name or the
// name of one of its listeners; empty for callers and the store.
func RegionOf(r *Rig, name string) string {
	vm, _, _ := strings.Cut(name, "/")
	for _, node := range r.Nodes {
		if node.IP == vm || node.Spec.VM == vm {
			return node.Spec.Region
		}
	}
	return ""
}
