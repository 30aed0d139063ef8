package features

import "testing"

func TestOverride(t *testing.T) {
	for text, want := range map[string]Set{
		"":                              {Stops: true},
		"stops=off":                     {},
		" speeds=on , interference=on ": {Stops: true, Speeds: true, Interference: true},
	} {
		got, err := Set{Stops: true}.Override(text)
		if err != nil || got != want {
			t.Errorf("%q: %v, %v; want %v", text, got, err, want)
		}
		if again, err := (Set{}).Override(got.String()); err != nil || again != got {
			t.Errorf("%q is not read back: %v, %v", got, again, err)
		}
	}
	for _, text := range []string{"stops", "stops=1", "unknown=on", "=on"} {
		if _, err := (Set{}).Override(text); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
}
