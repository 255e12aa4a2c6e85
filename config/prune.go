package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/mangomast/mangomast/finding"
)

// Prune removes the elements that fail validation, and those that refer to
// them, so that the rest of the document can be used. An invalid route that can
// still be matched becomes unavailable instead: without it, its requests would
// match a shorter path and run at the wrong service. What is wrong is added to
// findings.
func (d *Document) Prune(findings *finding.List) {
	for {
		invalid := &finding.List{File: findings.File}
		d.Validate(invalid)
		if !d.removeInvalid(invalid.Findings(), findings) {
			return
		}
	}
}

// removeInvalid removes or replaces the elements that the findings are about. It
// reports whether there were any.
func (d *Document) removeInvalid(invalid []finding.Finding, findings *finding.List) bool {
	elements := map[string]map[int]bool{}
	unmatchable := map[int]bool{}
	for _, f := range invalid {
		collection, index, field, ok := splitPointer(f.Field)
		if !ok {
			findings.Addf(f.Field, "%s", f.Message)
			continue
		}
		if elements[collection] == nil {
			elements[collection] = map[int]bool{}
		}
		elements[collection][index] = true
		if collection == "routes" && (field == "path" || field == "method" || d.Routes[index].Unavailable) {
			unmatchable[index] = true
		}
		findings.Addf(f.Field, "left out: %s", f.Message)
	}
	for index := range elements["routes"] {
		if route := &d.Routes[index]; !unmatchable[index] {
			*route = Route{ID: fmt.Sprintf("invalid-%d", index), Host: route.Host, Method: route.Method, Path: route.Path, Unavailable: true}
		}
	}
	d.Organisations = without(d.Organisations, elements["organisations"])
	d.Keys = without(d.Keys, elements["keys"])
	d.Services = without(d.Services, elements["services"])
	d.Routes = without(d.Routes, unmatchable)
	d.Domains = without(d.Domains, elements["failure_domains"])
	d.Operators = without(d.Operators, elements["operators"])
	return len(elements) > 0
}

// splitPointer splits the JSON pointer /collection/index/field; ok is false for
// one of another form.
func splitPointer(pointer string) (collection string, index int, field string, ok bool) {
	const maxParts = 4
	parts := strings.SplitN(pointer, "/", maxParts)
	for len(parts) < maxParts {
		parts = append(parts, "")
	}
	index, err := strconv.Atoi(parts[2])
	return parts[1], index, parts[3], err == nil
}

// without returns the elements whose indexes are not in removed.
func without[T any](elements []T, removed map[int]bool) []T {
	if len(removed) == 0 {
		return elements
	}
	kept := slices.Clone(elements[:0])
	for i, element := range elements {
		if !removed[i] {
			kept = append(kept, element)
		}
	}
	return kept
}
