package config

import (
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/mangomast/mangomast/finding"
	"github.com/mangomast/mangomast/settings"
)

// Limits of the document's fields. MaxRate also limits weights and bursts.
const (
	MinImportance        = 1
	MaxImportance        = 9
	MaxRetryBudget       = 10
	MaxDeadline          = 60 * time.Second
	MaxResponseBodyBytes = 64 << 20
	MaxRequestBodyBytes  = 8 << 20
	MaxRate              = 1e7
)

const hashSizeBytes = 32

// Validate adds all errors in the document to findings.
func (d *Document) Validate(findings *finding.List) {
	v := validator{findings: findings}
	organisations := v.organisations(d.Organisations)
	services := v.services(d.Services)
	v.keys(d.Keys, organisations)
	v.routes(d.Routes, organisations, services)
	v.domains(d.Domains)
	v.operators(d.Operators)
}

type stringSet map[string]bool

// validator collects the errors of a document. Each method checks the part of
// the document that it is named after.
type validator struct {
	findings *finding.List
}

// id checks that an ID is a valid name and not yet in seen, and adds it.
func (v *validator) id(pointer, id string, seen stringSet) {
	switch {
	case !settings.ValidName(id):
		v.findings.Addf(pointer, "%q must be 1 to 63 lower-case letters, digits, '.', '_' or '-'", id)
	case seen[id]:
		v.findings.Addf(pointer, "%q is used twice", id)
	}
	seen[id] = true
}

// organisations returns the IDs of the organisations.
func (v *validator) organisations(orgs []Organisation) stringSet {
	seen := stringSet{}
	for i, org := range orgs {
		pointer := fmt.Sprintf("/organisations/%d", i)
		v.id(pointer+"/id", org.ID, seen)
		if org.ID == AllOrganisations {
			v.findings.Addf(pointer+"/id", "%q is reserved", AllOrganisations)
		}
		if !(org.Weight > 0) || org.Weight > MaxRate {
			v.findings.Addf(pointer+"/weight", "must be above 0 and at most %.0f", MaxRate)
		}
		if !(org.Rate >= 0) || org.Rate > MaxRate {
			v.findings.Addf(pointer+"/rate", "must be 0 to %.0f requests a second", MaxRate)
		}
		if !(org.Burst >= 1) || org.Burst > MaxRate {
			v.findings.Addf(pointer+"/burst", "must be 1 to %.0f requests", MaxRate)
		}
		if org.Importance > MaxImportance {
			v.findings.Addf(pointer+"/importance", "must be 0 to %d", MaxImportance)
		}
		if org.ServeWhenCutOff < 0 {
			v.findings.Addf(pointer+"/serve_when_cut_off", "must not be negative")
		}
		v.regions(pointer+"/regions", org.Regions)
	}
	return seen
}

// services returns the IDs of the services.
func (v *validator) services(services []Service) stringSet {
	seen := stringSet{}
	for i, s := range services {
		pointer := fmt.Sprintf("/services/%d", i)
		v.id(pointer+"/id", s.ID, seen)
		if !(s.ColdRate >= 0) || s.ColdRate > MaxRate {
			v.findings.Addf(pointer+"/cold_rate", "must be 0 to %.0f requests a second", MaxRate)
		}
		if s.ColdStart < 0 {
			v.findings.Addf(pointer+"/cold_start", "must not be negative")
		}
		if s.HealthPath != "" && !strings.HasPrefix(s.HealthPath, "/") {
			v.findings.Addf(pointer+"/health_path", "must begin with /")
		}
	}
	return seen
}

func (v *validator) keys(keys []Key, organisations stringSet) {
	ids, hashes := stringSet{}, stringSet{}
	for i, key := range keys {
		pointer := fmt.Sprintf("/keys/%d", i)
		v.id(pointer+"/id", key.ID, ids)
		if !organisations[key.Organisation] {
			v.findings.Addf(pointer+"/organisation", "%q is not an organisation of this document", key.Organisation)
		}
		if !validHash(key.Hash) {
			v.findings.Addf(pointer+"/hash", "must be a SHA-256 in hexadecimal; use 'mangomast key grant' to make a key")
		}
		if hashes[strings.ToLower(key.Hash)] {
			v.findings.Addf(pointer+"/hash", "is the hash of another key too")
		}
		hashes[strings.ToLower(key.Hash)] = true
	}
}

func (v *validator) routes(routes []Route, organisations, services stringSet) {
	ids, patterns := stringSet{}, stringSet{}
	for i, route := range routes {
		pointer := fmt.Sprintf("/routes/%d", i)
		v.id(pointer+"/id", route.ID, ids)
		pattern := route.Method + " " + route.Host + route.Path
		if patterns[pattern] {
			v.findings.Addf(pointer+"/path", "%q is matched by an earlier route", pattern)
		}
		patterns[pattern] = true
		v.match(pointer, route)
		if route.Unavailable {
			continue
		}
		if !services[route.Service] {
			v.findings.Addf(pointer+"/service", "%q is not a service of this document", route.Service)
		}
		v.split(pointer, route, services)
		v.openTo(pointer+"/open_to", route.OpenTo, organisations)
		v.regions(pointer+"/regions", route.Regions)
		v.limits(pointer, route)
	}
}

func (v *validator) split(pointer string, route Route, services stringSet) {
	for i, part := range route.Split {
		partPointer := fmt.Sprintf("%s/split/%d", pointer, i)
		if !services[part.Service] {
			v.findings.Addf(partPointer+"/service", "%q is not a service of this document", part.Service)
		}
		if !(part.Weight >= 0) || part.Weight > MaxRate {
			v.findings.Addf(partPointer+"/weight", "must be 0 to %.0f", MaxRate)
		}
	}
}

// match checks the method and path that the route matches.
func (v *validator) match(pointer string, route Route) {
	if route.Method != "*" && (route.Method == "" || strings.ToUpper(route.Method) != route.Method) {
		v.findings.Addf(pointer+"/method", `%q must be an upper-case HTTP method or "*"`, route.Method)
	}
	if !strings.HasPrefix(route.Path, "/") || strings.ContainsAny(route.Path, "?# ") {
		v.findings.Addf(pointer+"/path", "%q must be a path that starts with '/'", route.Path)
	}
}

func (v *validator) openTo(pointer string, openTo []string, organisations stringSet) {
	if len(openTo) == 0 {
		v.findings.Addf(pointer, "must list organisations, or just %q", AllOrganisations)
	}
	for i, org := range openTo {
		if org == AllOrganisations && len(openTo) == 1 {
			continue
		}
		if !organisations[org] {
			v.findings.Addf(fmt.Sprintf("%s/%d", pointer, i), "%q is not an organisation of this document", org)
		}
	}
}

func (v *validator) regions(pointer string, regions []string) {
	for i, region := range regions {
		if !settings.ValidName(region) {
			v.findings.Addf(fmt.Sprintf("%s/%d", pointer, i), "%q is not a valid name of a region", region)
		}
	}
}

// limits checks the numeric fields of the route.
func (v *validator) limits(pointer string, route Route) {
	if route.Importance < MinImportance || route.Importance > MaxImportance {
		v.findings.Addf(pointer+"/importance", "must be %d (shed first) to %d (shed last)", MinImportance, MaxImportance)
	}
	if route.Deadline <= 0 || route.Deadline.Std() > MaxDeadline {
		v.findings.Addf(pointer+"/deadline", "must be above 0s and at most %s", MaxDeadline)
	}
	if route.Attempts < 0 {
		v.findings.Addf(pointer+"/attempts", "must not be negative")
	}
	if route.Objective < 0 {
		v.findings.Addf(pointer+"/objective", "must not be negative")
	}
	if route.RetryBudget < 0 || route.RetryBudget > MaxRetryBudget {
		v.findings.Addf(pointer+"/retry_budget", "must be 0 to %d", MaxRetryBudget)
	}
	if route.MaxRequestBytes < 0 || route.MaxRequestBytes > MaxRequestBodyBytes {
		v.findings.Addf(pointer+"/max_request_bytes", "must be 0 to %d", MaxRequestBodyBytes)
	}
	if route.MaxAnswerBytes < 1 || route.MaxAnswerBytes > MaxResponseBodyBytes {
		v.findings.Addf(pointer+"/max_answer_bytes", "must be 1 to %d", MaxResponseBodyBytes)
	}
}

func (v *validator) domains(domains []FailureDomain) {
	seen := stringSet{}
	for i, domain := range domains {
		pointer := fmt.Sprintf("/failure_domains/%d", i)
		v.id(pointer+"/id", domain.ID, seen)
		if !settings.ValidName(domain.Region) {
			v.findings.Addf(pointer+"/region", "%q is not a valid name", domain.Region)
		}
		if domain.Weight < 0 || domain.Weight > 2 {
			v.findings.Addf(pointer+"/weight", "must be 1 or 2")
		}
	}
}

func (v *validator) operators(operators []Operator) {
	seen := stringSet{}
	for i, operator := range operators {
		pointer := fmt.Sprintf("/operators/%d", i)
		v.id(pointer+"/id", operator.ID, seen)
		if !validHash(operator.Hash) {
			v.findings.Addf(pointer+"/hash", "must be a SHA-256 in hexadecimal; use 'mangomast operator new' to make a token")
		}
	}
}

// validHash reports whether the text is a SHA-256 in hexadecimal.
func validHash(text string) bool {
	raw, err := hex.DecodeString(text)
	return err == nil && len(raw) == hashSizeBytes
}
