// Package finding collects the errors in an input document with their
// positions, so that they can be reported together.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one error in an input document.
type Finding struct {
	// File is the name of the file; empty if the document is not from a file.
	File string `json:"file,omitempty"`
	// Line and Column start at 1; both are 0 if the position is unknown.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Field is the JSON pointer of the field, such as /routes/0/path.
	Field string `json:"field"`
	// Message describes the error and the expected value.
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

// Error contains all findings in a document.
type Error struct {
	Findings []Finding
}

// Error returns the findings, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Findings))
	for i, f := range e.Findings {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Locator returns the line and column of a field, or zeros if they are unknown.
type Locator func(field string) (line, column int)

// List collects findings. The zero value is ready to use.
type List struct {
	// File is copied into each finding.
	File string
	// Locate returns the position of a field. If nil, positions are unknown.
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

// AddAt adds a finding at the given position.
func (l *List) AddAt(line, column int, field, format string, args ...any) {
	f := Finding{File: l.File, Line: line, Column: column, Field: field, Message: fmt.Sprintf(format, args...)}
	l.findings = append(l.findings, f)
}

// Findings returns the findings in the order in which they were added.
func (l *List) Findings() []Finding { return l.findings }

// Err returns an *Error with all findings, or nil if there are none.
func (l *List) Err() error {
	if len(l.findings) == 0 {
		return nil
	}
	return &Error{Findings: l.findings}
}
