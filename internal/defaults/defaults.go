// Package defaults fills in settings that are not set.
package defaults

// Set sets *v to def if *v is the zero value.
func Set[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
