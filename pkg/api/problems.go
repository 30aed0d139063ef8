package api

import "fmt"

// Problem is one invalid field.
type Problem struct {
	// Field is the path of the field, such as presets[0].guarantees[1].count.
	Field   string `json:"field"`
	Message string `json:"message"`
}

// Problems collects the invalid fields of one document, so that all of them can be
// reported at once.
type Problems []Problem

// maxProblems limits the invalid fields that are reported of one document, which may have
// hundreds of thousands.
const maxProblems = 1000

// Add records an invalid field. Those after the first maxProblems are left out.
func (p *Problems) Add(field, format string, args ...any) {
	switch {
	case len(*p) > maxProblems:
		return
	case len(*p) == maxProblems:
		field, format, args = "body", "has further invalid fields", nil
	}
	*p = append(*p, Problem{field, fmt.Sprintf(format, args...)})
}

// Require records an invalid field unless ok.
func (p *Problems) Require(ok bool, field, format string, args ...any) {
	if !ok {
		p.Add(field, format, args...)
	}
}

// Err returns an *Error that names every invalid field, or nil if there is none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	e := FieldErrorf(p[0].Field, "%s", p[0].Message)
	e.More = p[1:]
	return e
}
