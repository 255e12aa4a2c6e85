// Package finding collects the errors found in an input document, each with
// its place, so that they can be reported together.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one error in an input document.
type Finding struct {
	// File names the document; empty when it did not come from a file.
	File string `json:"file,omitempty"`
	// Line and Column start at 1; both are 0 when the place is unknown.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Field is the JSON pointer of the field, such as /routes/0/path.
	Field string `json:"field"`
	// Message says what is wrong and what is expected.
	Message string `json:"message"`
}

// String formats the finding as file:line:column: field: message.
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File + ":")
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", f.Line, f.Column)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if f.Field != "" {
		b.WriteString(f.Field + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// Error reports every finding of a document at once.
type Error struct {
	Findings []Finding
}

// Error lists the findings, one a line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Locator returns the line and column of a field, or zeros if it is absent.
type Locator func(field string) (line, column int)

// List collects findings. The zero value is ready for use.
type List struct {
	// File is copied into each finding.
	File string
	// Locate resolves the place of a field; nil leaves places unknown.
	Locate   Locator
	findings []Finding
}

// Addf adds a finding for the field with the given JSON pointer.
func (l *List) Addf(field, format string, args ...any) {
	f := Finding{File: l.File, Field: field, Message: fmt.Sprintf(format, args...)}
	if l.Locate != nil {
		f.Line, f.Column = l.Locate(field)
	}
	l.findings = append(l.findings, f)
}

// AddAt adds a finding whose place is known.
func (l *List) AddAt(line, column int, field, format string, args ...any) {
	f := Finding{File: l.File, Line: line, Column: column, Field: field, Message: fmt.Sprintf(format, args...)}
	l.findings = append(l.findings, f)
}

// Findings returns what was collected, in the order it was added.
func (l *List) Findings() []Finding { return l.findings }

// Err returns an *Error holding all findings, or nil if there are none.
func (l *List) Err() error {
	if len(l.findings) == 0 {
		return nil
	}
	return &Error{Findings: l.findings}
}
