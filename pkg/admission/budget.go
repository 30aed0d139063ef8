package admission

const (
	// retryShare is how many retries each first attempt deposits.
	retryShare = 0.08
	// maxRetries bounds the retries that can accumulate.
	maxRetries = 10
	// silentShare is how many retries after a silent connection each first attempt
	// deposits. The sum of both shares is at most 0.1.
	silentShare = 0.02
)

// RetryBudget bounds the retries to a share of the first attempts, so that retries
// do not make an overload worse. Retries after silent connections have a separate
// balance: all connections of a node may become silent at once, and each request
// in flight then needs a retry. The zero value is empty. A RetryBudget is not safe
// for concurrent use.
type RetryBudget struct{ general, silent float64 }

// Deposit adds the share of one first attempt. slots is how many slots the node
// has; it bounds the balance for silent connections.
func (b *RetryBudget) Deposit(slots int) {
	b.general = min(maxRetries, b.general+retryShare)
	b.silent = min(float64(slots), b.silent+silentShare)
}

// TryWithdraw reports whether one retry may be made, and withdraws it if so. silent
// reports whether the previous attempt failed on a silent connection.
func (b *RetryBudget) TryWithdraw(silent bool) bool {
	if silent && withdraw(&b.silent) {
		return true
	}
	return withdraw(&b.general)
}

// withdraw takes one retry from the balance, if it has one.
func withdraw(balance *float64) bool {
	if *balance < 1 {
		return false
	}
	*balance--
	return true
}
