package rig

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

func (r *Rig) journalFile(node *Node) string {
	return filepath.Join(r.dir, node.Spec.VM+"-runs.journal")
}

// Runs counts the runs of each test ID at all upstreams of a service, also at
// those that were killed since.
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
