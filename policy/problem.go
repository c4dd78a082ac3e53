package policy

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Problem is one error in a document.
type Problem struct {
	File     string `json:"file,omitempty"`
	Field    string `json:"field,omitempty"` // path such as exceptions[2].reason; empty for the whole document
	Value    string `json:"value"`
	Accepted string `json:"accepted"`
}

// Error returns the file, the field, the value and what is accepted.
func (p Problem) Error() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ": ")
	}
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	fmt.Fprintf(&b, "%s is not accepted, want %s", p.Value, p.Accepted)
	return b.String()
}

// Problems lists all errors found in a document.
type Problems []Problem

// Error joins the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].Error()
	}
	return strings.Join(lines, "\n")
}

// WithFile returns the error with the file name set in each of its problems
// that has none. Errors of another type are returned unchanged.
func WithFile(file string, err error) error {
	var problems Problems
	if !errors.As(err, &problems) {
		return err
	}
	named := make(Problems, len(problems))
	for i, problem := range problems {
		if problem.File == "" {
			problem.File = file
		}
		named[i] = problem
	}
	return named
}

// orNil returns nil for an empty list, because an interface that holds an empty list
// is not nil.
func (p Problems) orNil() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

func (p *Problems) add(field, value, accepted string) {
	*p = append(*p, Problem{Field: field, Value: value, Accepted: accepted})
}
