package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/internal/freeport"
	"github.com/mangomast/mangomast/settings"
)

// startStore starts the store and its proxy.
func (r *Rig) startStore() error {
	ip := r.ip(0, 0)
	addresses, err := freeport.Addresses(ip, 2)
	if err != nil {
		return err
	}
	r.StoreURL = "http://" + addresses[0]
	r.StoreAddress = addresses[1]
	r.Store, err = startProcess(r.dir, "store", r.benchBinary(), "standin-store", "--listen", addresses[0])
	if err != nil {
		return err
	}
	if err := waitListening(addresses[0]); err != nil {
		return err
	}
	return r.Network.Forward(StoreListener, addresses[1], addresses[0])
}

func (r *Rig) benchBinary() string { return filepath.Join(r.binaries, "mangomast-bench") }

// ip returns a loopback address in the /16 network that this rig has chosen.
func (r *Rig) ip(subnet, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", r.ipOctet, subnet, host+1)
}

// allocateNode allocates the addresses of a node and starts its proxies.
func (r *Rig) allocateNode(index int, spec NodeSpec) (*Node, error) {
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

// maxSeeds is the maximum number of seeds in a node's settings.
const maxSeeds = 3

// writeSettings writes the node's settings file.
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

// StartNode starts or restarts a node's process.
func (r *Rig) StartNode(node *Node) error {
	p, err := startProcess(r.dir, node.Spec.VM, filepath.Join(r.binaries, "mangomastd"), "--settings", node.settings)
	node.Process = p
	return err
}

// StartUpstream starts or restarts a node's upstream, if the node has one.
func (r *Rig) StartUpstream(node *Node) error {
	if node.Spec.Service == "" {
		return nil
	}
	behaviour, err := json.Marshal(node.Spec.Behaviour)
	if err != nil {
		return errors.Wrap(err, "encode behaviour")
	}
	p, err := startProcess(r.dir, node.Spec.VM+"-upstream", r.benchBinary(), "standin-upstream",
		"--listen", node.UpstreamAddress, "--egress", "http://"+node.Egress,
		"--service", node.Spec.Service, "--slots", strconv.Itoa(node.Spec.Slots),
		"--connections", strconv.Itoa(node.Spec.Connections), "--behaviour", string(behaviour),
		"--journal", r.journalFile(node))
	node.Upstream = p
	return err
}

// waitListening waits until the address accepts connections.
func waitListening(address string) error {
	const attempts = 200
	for range attempts {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			return conn.Close()
		}
		time.Sleep(readyPollInterval)
	}
	return errors.Errorf("no process accepts connections on %s", address)
}
