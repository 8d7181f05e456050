// Package defaults sets defaults for options that have their zero value.
package defaults

// Set sets a field to value if it is zero.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
