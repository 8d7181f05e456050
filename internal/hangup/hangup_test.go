package hangup_test

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"nutmeglane.example/nutmeglane/internal/hangup"
	"nutmeglane.example/nutmeglane/internal/selfexec"
)

// restoreVariable makes the test binary print what Restore returns.
const restoreVariable = "HANGUP_TEST_RESTORE"

func TestMain(m *testing.M) {
	if os.Getenv(restoreVariable) != "" {
		fmt.Print(hangup.Restore())
		os.Exit(0)
	}
	selfexec.Main(m)
}

// Guards against a command under nohup that is ended by SIGHUP, with and without cgo: Restore
// must leave the signal ignored if the parent ignored it.
func TestRestoreKeepsAnIgnoredHangup(t *testing.T) {
	// A child of a process that handles the signal starts with its default action, also if the
	// tests themselves run under nohup.
	handled := make(chan os.Signal, 1)
	signal.Notify(handled, syscall.SIGHUP)
	defer signal.Stop(handled)
	for _, ignored := range []bool{false, true} {
		if ignored {
			signal.Ignore(syscall.SIGHUP) // inherited by the child
			defer signal.Reset(syscall.SIGHUP)
		}
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), restoreVariable+"=1")
		out, err := cmd.Output()
		if want := fmt.Sprint(!ignored); err != nil || string(out) != want {
			t.Errorf("ignored %t: Restore returned %q, %v; want %s", ignored, out, err, want)
		}
	}
}

// start starts a daemon whose settings are in a file.
func start(t testing.TB, role, settings string) *exec.Cmd {
	t.Helper()
	cmd := exec.Command(os.Args[0], role, "--settings", settings)
	cmd.Env = append(os.Environ(), selfexec.Variable+"=1")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return cmd
}

// endedBy returns the signal that terminated a process, or 0 if it exited by itself.
func endedBy(cmd *exec.Cmd) syscall.Signal {
	_ = cmd.Wait() // the status is checked below
	if status := cmd.ProcessState.Sys().(syscall.WaitStatus); status.Signaled() {
		return status.Signal()
	}
	return 0
}

// Guards against a reload that terminates a process during its start: SIGHUP arrives while the
// settings are being read, before the daemon handles it.
func TestHangupWhileSettingsAreRead(t *testing.T) {
	for _, role := range []string{"router", "loader", "entry", "agent"} {
		t.Run(role, func(t *testing.T) {
			pipe := filepath.Join(t.TempDir(), "settings")
			if err := syscall.Mkfifo(pipe, 0o600); err != nil {
				t.Fatal(err)
			}
			cmd := start(t, role, pipe)
			settings, err := os.OpenFile(pipe, os.O_WRONLY, 0) // blocks until the daemon opens it for reading
			if err != nil {
				t.Fatal(err)
			}
			if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
			_, _ = settings.WriteString("{}") // fails if the process has ended, which endedBy detects
			_ = settings.Close()
			if signal := endedBy(cmd); signal != 0 {
				t.Errorf("ended by %v", signal)
			}
		})
	}
}

// BenchmarkHangupDuringStart measures the share of processes that SIGHUP terminates, by the
// time between process start and signal.
func BenchmarkHangupDuringStart(b *testing.B) {
	for _, after := range []time.Duration{0, 1, 2, 3, 5, 8, 12, 20, 40} {
		after *= time.Millisecond
		b.Run(fmt.Sprint(after), func(b *testing.B) {
			pipe := filepath.Join(b.TempDir(), "settings")
			if err := syscall.Mkfifo(pipe, 0o600); err != nil {
				b.Fatal(err)
			}
			ended := 0
			for b.Loop() {
				cmd := start(b, "router", pipe)
				time.Sleep(after)
				_ = cmd.Process.Signal(syscall.SIGHUP)
				time.Sleep(100 * time.Millisecond) // by then the signal has had its effect
				_ = cmd.Process.Signal(syscall.SIGKILL)
				if endedBy(cmd) == syscall.SIGHUP {
					ended++
				}
			}
			b.ReportMetric(float64(ended)/float64(b.N), "ended/op")
		})
	}
}
