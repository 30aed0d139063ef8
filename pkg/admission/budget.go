package admission

const (
	// retryShare is how many retries each first attempt pays for.
	retryShare = 0.08
	// minSavings bounds the retries that can be saved up by a node with few slots.
	minSavings = 10
)

// Budget bounds the retries to a share of the first attempts, so that retries
// never make an overload worse. The zero value is empty.
type Budget struct{ saved float64 }

// First pays in for a first attempt of a node with the given number of slots. As
// many retries can be saved up, since all connections may go silent at once.
func (b *Budget) First(slots int) {
	b.saved = min(float64(max(minSavings, slots)), b.saved+retryShare)
}

// Retry reports whether one retry may be made, and pays for it.
func (b *Budget) Retry() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
