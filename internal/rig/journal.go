package rig

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// journalFile returns the path of the file to which the node's upstream appends
// the test ID of each run.
func (r *Rig) journalFile(node *Node) string {
	return filepath.Join(r.dir, node.Spec.VM+"-runs.journal")
}

// Runs returns the number of runs of each test ID at all upstreams of a
// service, including those that were killed.
func (r *Rig) Runs(service string) (map[string]int, error) {
	runs := map[string]int{}
	for _, node := range r.Nodes {
		if node.Spec.Service != service {
			continue
		}
		data, err := os.ReadFile(r.journalFile(node))
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return nil, errors.Wrap(err, "read journal")
		}
		for line := range strings.Lines(string(data)) {
			runs[strings.TrimSpace(line)]++
		}
	}
	return runs, nil
}
