// Package finding collects the problems of an input together with their
// places, so that a person sees all of them at once.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one problem at one place of an input.
type Finding struct {
	// File names the input, as the user gave it.
	File string `json:"file"`
	// Line and Column count from 1. Zero means that the place is not known.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Field is the YAML path of the field, such as $.listen. It may be empty.
	Field string `json:"field,omitempty"`
	// Message says what is wrong and what would be right.
	Message string `json:"message"`
}

// String formats the finding as file:line:column: field: message.
func (f Finding) String() string {
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	}
	if f.Field == "" {
		return fmt.Sprintf("%s: %s", place, f.Message)
	}
	return fmt.Sprintf("%s: %s: %s", place, f.Field, f.Message)
}

// List is a set of findings. A List with members is an error.
type List []Finding

// Error joins all findings, one a line.
func (l List) Error() string {
	lines := make([]string, 0, len(l))
	for _, f := range l {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Sort orders the findings by file, line and column.
func (l List) Sort() {
	sort.SliceStable(l, func(i, j int) bool {
		a, b := l[i], l[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
}

// Err returns the list as an error, or nil where it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	l.Sort()
	return l
}
