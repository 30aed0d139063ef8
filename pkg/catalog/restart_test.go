package catalog

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shallotpin/shallotpin/pkg/backend"
)

func configRecord(t *testing.T, version int64, keys ...string) backend.KeyedRecord {
	t.Helper()
	data, err := json.Marshal(Config{Version: version, Accounts: []Account{{Name: "a", Keys: keys}}})
	if err != nil {
		t.Fatal(err)
	}
	return backend.KeyedRecord{Key: "config", Value: data}
}

func decodeConfig(r backend.KeyedRecord) (Change, error) {
	var c Config
	err := json.Unmarshal(r.Value, &c)
	c.Index()
	return Change{Config: &c}, err
}

// A withdrawn key must not be valid again after a listing or a record with an older
// configuration, and a malformed record must not replace the configuration in force.
func TestWithdrawnKeyStaysWithdrawn(t *testing.T) {
	o := NewOperatorConfig(decodeConfig, func() {})
	o.Replace([]backend.KeyedRecord{configRecord(t, 3, "old", "kept")})
	o.Apply([]backend.KeyedRecord{configRecord(t, 4, "kept")})
	for name, change := range map[string]func(){
		"older record":     func() { o.Apply([]backend.KeyedRecord{configRecord(t, 3, "old", "kept")}) },
		"older listing":    func() { o.Replace([]backend.KeyedRecord{configRecord(t, 3, "old", "kept")}) },
		"empty listing":    func() { o.Replace(nil) },
		"malformed record": func() { o.Apply([]backend.KeyedRecord{{Key: "config", Value: []byte("{")}}) },
	} {
		change()
		config, _, _ := o.Current()
		if config.AccountOf("old") != nil || config.AccountOf("kept") == nil || config.Version != 4 {
			t.Errorf("%s: version %d, withdrawn key valid %v", name, config.Version, config.AccountOf("old") != nil)
		}
	}
}

// A worker that has left must not be used again after a restart of a node or a new listing,
// and a malformed record takes out only its own worker.
func TestWorkerThatLeftStaysAway(t *testing.T) {
	decode := func(r backend.KeyedRecord) (Worker, error) {
		var w Worker
		err := json.Unmarshal(r.Value, &w)
		return w, err
	}
	record := func(id string) backend.KeyedRecord {
		return backend.KeyedRecord{Key: id, Value: []byte(`{"ID":"` + id + `"}`)}
	}
	w := NewWorkers(decode, func() time.Duration { return 0 }, func() {})
	w.Replace([]backend.KeyedRecord{record("a"), record("b"), record("c")})
	w.Apply([]backend.KeyedRecord{{Key: "a"}, {Key: "b", Value: []byte("{")}})
	if got, _ := w.Current(); len(got) != 1 || got["c"].ID != "c" {
		t.Errorf("workers %v, want only c", got)
	}
	w.Replace([]backend.KeyedRecord{record("d")})
	if got, _ := w.Current(); len(got) != 1 || got["d"].ID != "d" {
		t.Errorf("workers %v after a listing, want only d", got)
	}
}
