package relay

import (
	"io"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
)

// pair returns the two ends of a connection through a relay.
func pair(t *testing.T) (r *Relay, dialler, target net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	r, err = New("127.0.0.1:0", DialTo(listener.Addr().String()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	if dialler, err = net.Dial("tcp", r.Address()); err != nil {
		t.Fatal(err)
	}
	if target, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = dialler.Close(), target.Close() })
	return r, dialler, target
}

func send(t *testing.T, to net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(to, text); err != nil {
		t.Fatal(err)
	}
}

func expect(t *testing.T, from net.Conn, text string) {
	t.Helper()
	got := make([]byte, len(text))
	if _, err := io.ReadFull(from, got); err != nil || string(got) != text {
		t.Fatalf("read %q, %v, want %q", got, err, text)
	}
}

// A path is cut temporarily in one direction. Bytes in the other direction must
// still arrive. The blocked bytes must arrive after the cut has healed, with none
// lost or duplicated.
func TestCutHoldsBytesUntilHealed(t *testing.T) {
	r, dialler, target := pair(t)
	r.Cut(In)
	send(t, dialler, "late")
	send(t, target, "back")
	expect(t, dialler, "back")
	r.Heal()
	send(t, dialler, " more")
	expect(t, target, "late more")
}

// An open connection becomes permanently silent in one direction: its bytes and
// its end never arrive there, while new connections work. Bytes in the other
// direction must still arrive.
func TestSilenceSwallowsForGood(t *testing.T) {
	r, dialler, target := pair(t)
	send(t, dialler, "before")
	expect(t, target, "before")
	r.Silence(In)
	send(t, dialler, "lost")
	send(t, target, "still back")
	expect(t, dialler, "still back")
}

// A reset must end both sides of a connection immediately, with an error.
func TestResetEndsBothSides(t *testing.T) {
	r, dialler, target := pair(t)
	send(t, dialler, "open")
	expect(t, target, "open")
	r.Reset()
	for _, end := range []net.Conn{dialler, target} {
		if _, err := end.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("read %v, want a reset", err)
		}
	}
}
