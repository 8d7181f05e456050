package daemon

import "testing"

// The settings of every agent say that its engine is at 127.0.0.1. A steward
// on another host has to unload a model there; by that URL it would reach an
// engine on its own host, or none.
func TestReachableBackend(t *testing.T) {
	for _, c := range []struct{ backend, advertise, want string }{
		{"http://127.0.0.1:8000", "10.1.2.3:7000", "http://10.1.2.3:8000"},
		{"http://localhost:8000/", "10.1.2.3:7000", "http://10.1.2.3:8000/"},
		{"http://[::1]:8000", "[fd00::3]:7000", "http://[fd00::3]:8000"},
		{"http://127.0.0.1", "10.1.2.3:7000", "http://10.1.2.3"},
		{"http://10.1.2.3:8000", "10.1.2.3:7000", "http://10.1.2.3:8000"},
		{"http://127.0.0.1:8000", "127.0.0.1:7000", "http://127.0.0.1:8000"},
	} {
		if got := reachableBackend(c.backend, c.advertise); got != c.want {
			t.Errorf("%s beside %s: got %s, want %s", c.backend, c.advertise, got, c.want)
		}
	}
}
