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
	// SectionPrefix is the prefix of the store keys of the document's
	// sections, after the store's prefix. The sections are outside
	// StreamPrefix because the head already identifies their versions.
	SectionPrefix = "sections/"
	// sectionsPerCollection is the number of sections that the elements of a
	// collection are hashed into, so that a change writes and transfers only a
	// small part of the document.
	sectionsPerCollection = 64
)

// ErrSectionChanged is returned if a section does not have the version that
// the head references, because another change was committed between the reads.
var ErrSectionChanged = errors.New("a section of the document changed while it was read")

// Head is the value of DocumentKey. Each change writes the head and the
// affected sections in one transaction.
type Head struct {
	Change Change `json:"change"`
	// Sections are ordered by name.
	Sections []SectionRef `json:"sections"`
}

// SectionRef references a version of a section.
type SectionRef struct {
	Name string
	// Number is the number of the change that last wrote the section.
	Number uint64
}

// MarshalText encodes the reference as "name number". With one reference on
// each line of the encoded head, a change modifies only a few lines.
func (r SectionRef) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%s %d", r.Name, r.Number), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *SectionRef) UnmarshalText(text []byte) error {
	_, err := fmt.Sscanf(string(text), "%s %d", &r.Name, &r.Number)
	return errors.Wrapf(err, "section reference %q", text)
}

// Section is a part of the document that is stored under its own key.
type Section struct {
	Number uint64   `json:"number"`
	Part   Document `json:"part"`
}

// ParseHead decodes the value of DocumentKey.
func ParseHead(data []byte) (*Head, error) {
	head := &Head{}
	return head, errors.Wrap(json.Unmarshal(data, head), "decode the document's head")
}

// Encode returns the head as JSON with one section on each line.
func (h *Head) Encode() ([]byte, error) {
	data, err := json.MarshalIndent(h, "", " ")
	return data, errors.Wrap(err, "encode the document's head")
}

// Number returns the number of the change that last wrote the section, or 0 if
// the head does not reference the section.
func (h *Head) Number(name string) uint64 {
	i, found := slices.BinarySearchFunc(h.Sections, name, func(r SectionRef, name string) int { return cmp.Compare(r.Name, name) })
	if !found {
		return 0
	}
	return h.Sections[i].Number
}

// Encode returns the section as indented JSON.
func (s *Section) Encode() ([]byte, error) {
	data, err := json.MarshalIndent(s, "", " ")
	return data, errors.Wrap(err, "encode a section")
}

// sectionParts maps section names to the parts of a document.
type sectionParts map[string]*Document

// get returns the part that an element belongs to. A missing part is created.
func (p sectionParts) get(collection, id string) *Document {
	name := fmt.Sprintf("%s/%02d", collection, xxh3.HashString(id)%sectionsPerCollection)
	if p[name] == nil {
		p[name] = &Document{}
	}
	return p[name]
}

func (d *Document) splitIntoSections() sectionParts {
	p := sectionParts{}
	for _, e := range d.Organisations {
		part := p.get("organisations", e.ID)
		part.Organisations = append(part.Organisations, e)
	}
	for _, e := range d.Keys {
		part := p.get("keys", e.ID)
		part.Keys = append(part.Keys, e)
	}
	for _, e := range d.Services {
		part := p.get("services", e.ID)
		part.Services = append(part.Services, e)
	}
	for _, e := range d.Routes {
		part := p.get("routes", e.ID)
		part.Routes = append(part.Routes, e)
	}
	for _, e := range d.Domains {
		part := p.get("failure_domains", e.ID)
		part.Domains = append(part.Domains, e)
	}
	for _, e := range d.Operators {
		part := p.get("operators", e.ID)
		part.Operators = append(part.Operators, e)
	}
	return p
}

func (d *Document) appendPart(part *Document) {
	d.Organisations = append(d.Organisations, part.Organisations...)
	d.Keys = append(d.Keys, part.Keys...)
	d.Services = append(d.Services, part.Services...)
	d.Routes = append(d.Routes, part.Routes...)
	d.Domains = append(d.Domains, part.Domains...)
	d.Operators = append(d.Operators, part.Operators...)
}

// Sort orders each collection by ID, for readability.
func (d *Document) Sort() {
	slices.SortFunc(d.Organisations, func(a, b Organisation) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(d.Keys, func(a, b Key) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(d.Services, func(a, b Service) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(d.Routes, func(a, b Route) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(d.Domains, func(a, b FailureDomain) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(d.Operators, func(a, b Operator) int { return cmp.Compare(a.ID, b.ID) })
}

// ChangedSections returns the head of the document and the sections that
// differ from the earlier version with the given head, ordered by name. A
// section that has become empty is kept as an empty section.
func (d *Document) ChangedSections(earlier *Document, earlierHead *Head) (*Head, []NamedSection, error) {
	before, after := earlier.splitIntoSections(), d.splitIntoSections()
	head := &Head{Change: d.Change}
	var changed []NamedSection
	for _, name := range sectionNames(before, after) {
		number := earlierHead.Number(name)
		same, err := equalParts(before[name], after[name])
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

// NamedSection is a section together with its name.
type NamedSection struct {
	Name string
	Section
}

func sectionNames(sets ...sectionParts) []string {
	var names []string
	for _, set := range sets {
		for name := range set {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// equalParts reports whether two parts have the same JSON encoding. Parts that
// are deeply equal are not encoded.
func equalParts(a, b *Document) (bool, error) {
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

// Assembler assembles documents from their sections. It caches each decoded
// section until the section changes. It is not safe for concurrent use.
type Assembler struct {
	sections map[string]*Section
}

// NewAssembler returns an assembler with an empty cache.
func NewAssembler() *Assembler {
	return &Assembler{sections: map[string]*Section{}}
}

// Missing returns the names of the sections that the head references and that
// are not cached in the referenced version.
func (a *Assembler) Missing(head *Head) []string {
	var names []string
	for _, ref := range head.Sections {
		if s := a.sections[ref.Name]; s == nil || s.Number != ref.Number {
			names = append(names, ref.Name)
		}
	}
	return names
}

// Add decodes a section and caches it.
func (a *Assembler) Add(name string, data []byte) error {
	section := &Section{}
	if err := json.Unmarshal(data, section); err != nil {
		return errors.Wrapf(err, "decode section %s", name)
	}
	a.sections[name] = section
	return nil
}

// Document assembles the document that the head describes. It returns
// ErrSectionChanged if a section is missing.
func (a *Assembler) Document(head *Head) (*Document, error) {
	if missing := a.Missing(head); len(missing) > 0 {
		return nil, errors.Wrapf(ErrSectionChanged, "sections %v", missing)
	}
	doc := &Document{Change: head.Change}
	for _, ref := range head.Sections {
		doc.appendPart(&a.sections[ref.Name].Part)
	}
	return doc, nil
}
