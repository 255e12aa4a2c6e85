package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"

	"github.com/pkg/errors"
	"github.com/zeebo/xxh3"
)

const (
	// SectionPrefix starts the keys of the document's sections in the store,
	// after the store's prefix. They stand outside StreamPrefix, as the head
	// says what is in them.
	SectionPrefix = "sections/"
	// sectionsPerCollection bounds the sections that a collection is spread
	// over, so that one change writes and moves a small part of the document.
	sectionsPerCollection = 64
)

// ErrSectionChanged means that a section is not the one that the head names:
// another change was written in between.
var ErrSectionChanged = errors.New("a section of the document changed while it was read")

// Head is the value of DocumentKey. Each change writes it, with the sections
// that it touches, in one transaction.
type Head struct {
	Change Change `json:"change"`
	// Sections are ordered by name.
	Sections []SectionRef `json:"sections"`
}

// SectionRef names a section at the change that last wrote it.
type SectionRef struct {
	Name string
	// Number is the number of that change.
	Number uint64
}

// MarshalText writes the reference as "name number", so that each stands on a
// line of its own and a change moves few of the head's lines.
func (r SectionRef) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%s %d", r.Name, r.Number), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *SectionRef) UnmarshalText(text []byte) error {
	_, err := fmt.Sscanf(string(text), "%s %d", &r.Name, &r.Number)
	return errors.Wrapf(err, "section reference %q", text)
}

// Section is a part of the document that is kept under a key of its own.
type Section struct {
	Number uint64   `json:"number"`
	Part   Document `json:"part"`
}

// ParseHead decodes the value of DocumentKey.
func ParseHead(data []byte) (*Head, error) {
	head := &Head{}
	return head, errors.Wrap(json.Unmarshal(data, head), "decode the document's head")
}

// Encode returns the head as JSON, with each section on a line of its own.
func (h *Head) Encode() ([]byte, error) {
	data, err := json.MarshalIndent(h, "", " ")
	return data, errors.Wrap(err, "encode the document's head")
}

// Number returns the change that last wrote a section; 0 if there is none.
func (h *Head) Number(name string) uint64 {
	i, found := slices.BinarySearchFunc(h.Sections, name, func(r SectionRef, name string) int { return cmp.Compare(r.Name, name) })
	if !found {
		return 0
	}
	return h.Sections[i].Number
}

// Encode returns the section as JSON, with its elements on lines of their own.
func (s *Section) Encode() ([]byte, error) {
	data, err := json.MarshalIndent(s, "", " ")
	return data, errors.Wrap(err, "encode a section")
}

// parts are the parts of a document by section name.
type parts map[string]*Document

func (p parts) of(collection, id string) *Document {
	name := fmt.Sprintf("%s/%02d", collection, xxh3.HashString(id)%sectionsPerCollection)
	if p[name] == nil {
		p[name] = &Document{}
	}
	return p[name]
}

func (d *Document) split() parts {
	p := parts{}
	for _, e := range d.Organisations {
		part := p.of("organisations", e.ID)
		part.Organisations = append(part.Organisations, e)
	}
	for _, e := range d.Keys {
		part := p.of("keys", e.ID)
		part.Keys = append(part.Keys, e)
	}
	for _, e := range d.Services {
		part := p.of("services", e.ID)
		part.Services = append(part.Services, e)
	}
	for _, e := range d.Routes {
		part := p.of("routes", e.ID)
		part.Routes = append(part.Routes, e)
	}
	for _, e := range d.Domains {
		part := p.of("failure_domains", e.ID)
		part.Domains = append(part.Domains, e)
	}
	for _, e := range d.Operators {
		part := p.of("operators", e.ID)
		part.Operators = append(part.Operators, e)
	}
	return p
}

func (d *Document) add(part *Document) {
	d.Organisations = append(d.Organisations, part.Organisations...)
	d.Keys = append(d.Keys, part.Keys...)
	d.Services = append(d.Services, part.Services...)
	d.Routes = append(d.Routes, part.Routes...)
	d.Domains = append(d.Domains, part.Domains...)
	d.Operators = append(d.Operators, part.Operators...)
}

// Sort orders each collection by id, for people.
func (d *Document) Sort() {
	slices.SortFunc(d.Organisations, func(a, b Organisation) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(d.Keys, func(a, b Key) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(d.Services, func(a, b Service) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(d.Routes, func(a, b Route) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(d.Domains, func(a, b FailureDomain) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(d.Operators, func(a, b Operator) int { return cmp.Compare(a.ID, b.ID) })
}

// ChangedSections returns the head of the document and the sections by name
// that differ from the earlier version, whose head is given. A section that
// has become empty is kept as such.
func (d *Document) ChangedSections(earlier *Document, earlierHead *Head) (*Head, []NamedSection, error) {
	before, after := earlier.split(), d.split()
	head := &Head{Change: d.Change}
	var changed []NamedSection
	for _, name := range sectionNames(before, after) {
		number := earlierHead.Number(name)
		same, err := samePart(before[name], after[name])
		if err != nil {
			return nil, nil, err
		}
		if !same || number == 0 {
			number = d.Change.Number
			section := NamedSection{Name: name, Section: Section{Number: number}}
			if part := after[name]; part != nil {
				section.Part = *part
			}
			changed = append(changed, section)
		}
		head.Sections = append(head.Sections, SectionRef{Name: name, Number: number})
	}
	return head, changed, nil
}

// NamedSection is a section with its name.
type NamedSection struct {
	Name string
	Section
}

func sectionNames(sets ...parts) []string {
	var names []string
	for _, set := range sets {
		for name := range set {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func samePart(a, b *Document) (bool, error) {
	if reflect.DeepEqual(a, b) {
		return true, nil
	}
	first, err := json.Marshal(a)
	if err != nil {
		return false, errors.Wrap(err, "encode a section")
	}
	second, err := json.Marshal(b)
	return bytes.Equal(first, second), errors.Wrap(err, "encode a section")
}

// Assembler puts documents together from their sections. It decodes a section
// once and keeps it until it changes. It is not safe for concurrent use.
type Assembler struct {
	sections map[string]*Section
}

// NewAssembler returns an assembler that has decoded nothing yet.
func NewAssembler() *Assembler {
	return &Assembler{sections: map[string]*Section{}}
}

// Missing returns the names of the sections of the head that the assembler
// does not have.
func (a *Assembler) Missing(head *Head) []string {
	var names []string
	for _, ref := range head.Sections {
		if s := a.sections[ref.Name]; s == nil || s.Number != ref.Number {
			names = append(names, ref.Name)
		}
	}
	return names
}

// Add decodes a section.
func (a *Assembler) Add(name string, data []byte) error {
	section := &Section{}
	if err := json.Unmarshal(data, section); err != nil {
		return errors.Wrapf(err, "decode section %s", name)
	}
	a.sections[name] = section
	return nil
}

// Document returns the document of the head. It returns ErrSectionChanged if a
// section is missing.
func (a *Assembler) Document(head *Head) (*Document, error) {
	if missing := a.Missing(head); len(missing) > 0 {
		return nil, errors.Wrapf(ErrSectionChanged, "sections %v", missing)
	}
	doc := &Document{Change: head.Change}
	for _, ref := range head.Sections {
		doc.add(&a.sections[ref.Name].Part)
	}
	return doc, nil
}
