// Package finding collects problems of an input with their positions, so that users see all of
// them at once.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is a problem at a position in an input.
type Finding struct {
	// File is the name of the input, as given by the user.
	File string `json:"file"`
	// Line and Column count from 1. 0 means unknown.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Field is the YAML path of the field, such as $.listen, or empty.
	Field string `json:"field,omitempty"`
	// Message describes the problem and what is expected instead.
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

// List is a list of findings, which is an error if not empty.
type List []Finding

// Error returns all findings, one per line.
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

// Err returns the sorted list as an error, or nil if it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	l.Sort()
	return l
}
