package settings

import (
	"fmt"
	"strings"

	"nutmeglane.example/nutmeglane/internal/code"
)

// Problem is one error in a settings file.
type Problem struct {
	// File is the path as given to Load.
	File string
	// Line counts from 1. It is 0 if the problem has no position in the file.
	Line int
	// Field is the path of the field, such as "kv.url"; "" for the whole file.
	Field string
	// Got is the value in the file. Secrets are not shown.
	Got string
	// Wanted is what the field accepts.
	Wanted string
}

// Code returns code.BadSettings.
func (p Problem) Code() code.Code { return code.BadSettings }

// String returns the one-line form.
func (p Problem) String() string {
	place := p.File
	if p.Line > 0 {
		place = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	field := p.Field
	if field == "" {
		field = "(file)"
	}
	return fmt.Sprintf("%s: %d %s: field %s: got %s, wanted %s",
		place, p.Code(), p.Code(), field, p.Got, p.Wanted)
}

// Problems is the error of Load: all problems of one file, in file order.
type Problems []Problem

// Error implements error, with one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Code returns code.BadSettings.
func (p Problems) Code() code.Code { return code.BadSettings }
