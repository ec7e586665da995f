// Package defaults fills in settings that were left out.
package defaults

// Set gives *v the value def when it is the zero value.
func Set[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
