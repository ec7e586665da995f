package waitroom

// Budget is a token bucket that served requests fill. It limits what may be done beyond the
// first attempt to a fraction of what is served, so that it can't feed an overload. It is not
// safe for concurrent use.
type Budget struct {
	perSuccess float64
	limit      float64
	left       float64
}

// NewBudget returns a full Budget for limit uses at once. A served request pays for perSuccess
// of one.
func NewBudget(perSuccess, limit float64) *Budget {
	return &Budget{perSuccess: perSuccess, limit: limit, left: limit}
}

// Succeeded records a served request.
func (b *Budget) Succeeded() { b.left = min(b.left+b.perSuccess, b.limit) }

// Take takes one use. It returns false if none is left.
func (b *Budget) Take() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
