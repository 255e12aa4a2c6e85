// Package settings reads a node's settings file. The file is JSON with comments
// and is decoded strictly; all findings are reported together.
package settings

import (
	"encoding/json"
	"net"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/jsonc"
)

// MaxSlots bounds the slots of an upstream, whoever states them. A larger number is an
// error of its writer and would attract all requests of the service.
const MaxSlots = 1 << 20

// MinSecretBytes is the minimum length of the fleet secret.
const MinSecretBytes = 16

// defaultGrace is longer than the maximum deadline of a request.
const defaultGrace = 90 * time.Second

// Node is the settings document of one node.
type Node struct {
	// VM is the unique name of the VM that the node runs on.
	VM string `json:"vm"`
	// FailureDomain and Region are the location of the VM.
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// FleetSecret authenticates nodes to each other; at least 16 bytes.
	FleetSecret string `json:"fleet_secret"`
	// Listen has the addresses of the node's four listeners.
	Listen Listen `json:"listen"`
	// Advertise has the addresses under which others reach the node, where
	// they differ from those of the listeners, such as behind a proxy.
	Advertise Advertise `json:"advertise"`
	// Store configures access to the platform's key-value store.
	Store Store `json:"store"`
	// Seeds are mesh addresses of nodes to contact on start.
	Seeds []string `json:"seeds"`
	// Upstream is the local upstream, if it does not announce itself.
	Upstream Upstream `json:"upstream"`
	// Limits are the limits of the VM for the process.
	Limits Limits `json:"limits"`
	// Grace is the time between the signal of a planned stop and the kill of
	// the process; 90s if empty.
	Grace jsonc.Duration `json:"grace"`
	// LogLevel is debug, info, warn or error; info if empty.
	LogLevel string `json:"log_level"`
	// Modules maps module IDs to the settings of the modules.
	Modules map[string]json.RawMessage `json:"modules"`
}

// Listen has the addresses that a node listens on, as IP:port.
type Listen struct {
	// Callers accepts HTTP requests from callers.
	Callers string `json:"callers"`
	// Mesh accepts WebSocket connections from other nodes.
	Mesh string `json:"mesh"`
	// Egress accepts the calls that the local upstream makes; loopback only.
	// It is empty if the upstream sends its calls to the callers' listener.
	Egress string `json:"egress"`
	// Admin serves the console, the operator API and metrics.
	Admin string `json:"admin"`
}

// MeshIP returns the IP address of the mesh listener. The node also uses it as
// the local address of connections to other nodes and the store.
func (l Listen) MeshIP() string {
	host, _, _ := net.SplitHostPort(l.Mesh)
	return host
}

// Limits are the limits of a VM for the node's process. A process that exceeds them
// may be killed.
type Limits struct {
	// MemoryMB is the memory that the process may use, in units of 10^6 bytes; 256
	// if empty.
	MemoryMB int `json:"memory_mb"`
	// Descriptors is the number of files and connections that the process may have
	// open; 4096 if empty.
	Descriptors int `json:"descriptors"`
}

const (
	defaultMemoryMB    = 256
	defaultDescriptors = 4096
	// minMemoryMB and minDescriptors are the least with which a node serves requests.
	minMemoryMB    = 48
	maxMemoryMB    = 1 << 30
	minDescriptors = 256
)

// Memory returns the memory that the process may use, in bytes.
func (l Limits) Memory() int64 { return int64(l.MemoryMB) * 1e6 }

func (l *Limits) setDefaults() {
	if l.MemoryMB == 0 {
		l.MemoryMB = defaultMemoryMB
	}
	if l.Descriptors == 0 {
		l.Descriptors = defaultDescriptors
	}
}

func (l Limits) validate(findings *finding.List) {
	if l.MemoryMB < minMemoryMB || l.MemoryMB > maxMemoryMB {
		findings.Addf("/limits/memory_mb", "must be %d to %d", minMemoryMB, maxMemoryMB)
	}
	if l.Descriptors < minDescriptors {
		findings.Addf("/limits/descriptors", "must be at least %d", minDescriptors)
	}
}

// Advertise has the addresses under which others reach a node.
type Advertise struct {
	// Callers, Mesh and Admin are IP:port; they default to those of Listen.
	Callers string `json:"callers"`
	Mesh    string `json:"mesh"`
	Admin   string `json:"admin"`
}

// Store configures access to the platform's key-value store.
type Store struct {
	// Endpoints are the base URLs of the store's JSON gateway.
	Endpoints []string `json:"endpoints"`
	// Prefix is the prefix of all keys that mangomast uses; "/mangomast/" if
	// empty.
	Prefix string `json:"prefix"`
}

// Upstream describes the local upstream.
type Upstream struct {
	// Service is the name of the service that the upstream serves; empty if
	// the upstream announces itself.
	Service string `json:"service"`
	// Address is the upstream's loopback IP:port.
	Address string `json:"address"`
	// Slots is the number of requests that the upstream can run concurrently.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections to the upstream.
	Connections int `json:"connections"`
}

// Load reads and validates the settings file at path. If the settings are
// invalid, the error is a *finding.Error with all findings, which are also
// returned as a list to which the caller can add more. The returned node is nil
// only if the file cannot be read.
func Load(path string) (*Node, *finding.List, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read settings")
	}
	node, findings := Parse(path, data)
	return node, findings, findings.Err()
}

// Parse decodes and validates a settings document. The file name is used only
// in findings.
func Parse(file string, data []byte) (*Node, *finding.List) {
	findings := &finding.List{File: file}
	node := &Node{}
	jsonc.Decode(data, node, findings)
	if findings.Locate == nil { // too large, or not valid JSON
		return node, findings
	}
	node.SetDefaults()
	node.validate(findings)
	return node, findings
}

// SetDefaults sets empty fields to their default values.
func (n *Node) SetDefaults() {
	if n.Store.Prefix == "" {
		n.Store.Prefix = "/mangomast/"
	}
	if n.Grace == 0 {
		n.Grace = jsonc.Duration(defaultGrace)
	}
	n.Limits.setDefaults()
	if n.Advertise.Callers == "" {
		n.Advertise.Callers = n.Listen.Callers
	}
	if n.Advertise.Mesh == "" {
		n.Advertise.Mesh = n.Listen.Mesh
	}
	if n.Advertise.Admin == "" {
		n.Advertise.Admin = n.Listen.Admin
	}
}

// namePattern matches valid names of VMs, failure domains, regions, services
// and organisations.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// ValidName reports whether s is a valid name of a VM, failure domain, region,
// service or organisation.
func ValidName(s string) bool { return namePattern.MatchString(s) }

func (n *Node) validate(findings *finding.List) {
	checkName(findings, "/vm", n.VM)
	checkName(findings, "/failure_domain", n.FailureDomain)
	checkName(findings, "/region", n.Region)
	if len(n.FleetSecret) < MinSecretBytes {
		findings.Addf("/fleet_secret", "must have at least %d bytes", MinSecretBytes)
	}
	checkAddress(findings, "/listen/callers", n.Listen.Callers, false)
	checkAddress(findings, "/listen/mesh", n.Listen.Mesh, false)
	if n.Listen.Egress != "" {
		checkAddress(findings, "/listen/egress", n.Listen.Egress, true)
	}
	checkAddress(findings, "/listen/admin", n.Listen.Admin, false)
	n.Listen.checkDistinct(findings)
	for i, endpoint := range n.Store.Endpoints {
		checkURL(findings, "/store/endpoints/"+strconv.Itoa(i), endpoint)
	}
	if len(n.Store.Endpoints) == 0 {
		findings.Addf("/store/endpoints", "must name at least one endpoint")
	}
	for i, seed := range n.Seeds {
		checkAddress(findings, "/seeds/"+strconv.Itoa(i), seed, false)
	}
	n.Upstream.Validate("/upstream", findings)
	n.Limits.validate(findings)
	if n.Grace < 0 {
		findings.Addf("/grace", "must not be negative")
	}
	switch n.LogLevel {
	case "", "debug", "info", "warn", "error":
	default:
		findings.Addf("/log_level", "must be debug, info, warn or error")
	}
}

// checkDistinct adds a finding for each listener that has the same address as
// an earlier one.
func (l Listen) checkDistinct(findings *finding.List) {
	listeners := []struct{ name, address string }{
		{"callers", l.Callers}, {"mesh", l.Mesh}, {"egress", l.Egress}, {"admin", l.Admin},
	}
	for i, listener := range listeners {
		for _, earlier := range listeners[:i] {
			if listener.address == earlier.address && listener.address != "" {
				findings.Addf("/listen/"+listener.name, "%q is also the address of the %s listener", listener.address, earlier.name)
			}
		}
	}
}

// Validate adds the errors in the upstream's fields to findings. The prefix is
// the JSON pointer of the upstream. An upstream without a service is not
// validated.
func (u *Upstream) Validate(prefix string, findings *finding.List) {
	if u.Service == "" {
		return
	}
	checkName(findings, prefix+"/service", u.Service)
	checkAddress(findings, prefix+"/address", u.Address, true)
	if u.Slots < 1 || u.Slots > MaxSlots {
		findings.Addf(prefix+"/slots", "must be 1 to %d", MaxSlots)
	}
	if u.Connections < u.Slots {
		findings.Addf(prefix+"/connections", "must be at least the number of slots")
	}
}

func checkName(findings *finding.List, field, value string) {
	if !ValidName(value) {
		findings.Addf(field, "%q must be 1 to 63 lower-case letters, digits, '.', '_' or '-', starting with a letter or digit", value)
	}
}

func checkAddress(findings *finding.List, field, value string, loopback bool) {
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		findings.Addf(field, "%q must be IP:port", value)
		return
	}
	ip, err := netip.ParseAddr(host)
	if err != nil {
		findings.Addf(field, "%q must start with an IP number", value)
		return
	}
	if loopback && !ip.IsLoopback() {
		findings.Addf(field, "%q must be a loopback address", value)
	}
}

func checkURL(findings *finding.List, field, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		findings.Addf(field, "%q must be an http or https URL", value)
	}
}
