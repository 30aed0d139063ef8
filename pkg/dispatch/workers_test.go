package dispatch

import (
	"testing"

	"github.com/shallotpin/shallotpin/pkg/catalog"
)

// Worker IDs are chosen by others: their characters must not change which worker, or which of its
// incarnations, a key means.
func TestWorkerKeysOfAnyID(t *testing.T) {
	for _, id := range []string{"i-1", "", "@", "a@5", "a@b@9", "ü\n"} {
		key := workerKey(catalog.Worker{ID: id, StartedMS: 1234})
		if workerID(key) != id || incarnationStartMS(key) != 1234 {
			t.Errorf("key %q means worker %q, started at %d; want %q and 1234", key, workerID(key), incarnationStartMS(key), id)
		}
	}
}
