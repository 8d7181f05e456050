package daemon

import "testing"

// Guards against a steward that unloads a model on the wrong engine. The settings of
// every agent give its engine's address as 127.0.0.1; by that URL a steward on another
// host would reach an engine on its own host, or none.
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
			t.Errorf("backend %s of agent %s: got %s, want %s", c.backend, c.advertise, got, c.want)
		}
	}
}
