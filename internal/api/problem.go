package api

import (
	"fmt"
	"strings"

	"nutmeglane.example/nutmeglane/internal/code"
)

// Problem is one error in a set of declarations.
type Problem struct {
	// File and Line are the position of the value, empty and 0 if it does not
	// come from a file.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Resource is "<kind>/<name>", or empty if it could not be read.
	Resource string `json:"resource,omitempty"`
	// Path is the field within the resource, such as "spec.replicas.max".
	Path string `json:"path,omitempty"`
	// Got is the actual value, Wanted describes the accepted values.
	Got    string `json:"got"`
	Wanted string `json:"wanted"`
}

// String returns the problem as one line of text.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File)
		if p.Line > 0 {
			fmt.Fprintf(&b, ":%d", p.Line)
		}
		b.WriteString(": ")
	}
	for _, part := range []string{p.Resource, p.Path} {
		if part != "" {
			b.WriteString(part + ": ")
		}
	}
	fmt.Fprintf(&b, "got %s, wanted %s", p.Got, p.Wanted)
	return b.String()
}

// DeclarationError reports all problems found in a set of declarations.
type DeclarationError struct {
	Problems []Problem
}

// Code returns the numbered result code of the error.
func (e *DeclarationError) Code() code.Code { return code.BadDeclaration }

// Error implements error, with one line for each problem.
func (e *DeclarationError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return fmt.Sprintf("error %d: bad declaration\n%s", e.Code(), strings.Join(lines, "\n"))
}

// asError returns nil if there is no problem.
func asError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return &DeclarationError{Problems: problems}
}
