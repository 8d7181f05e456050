package fleet

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// cpuTime returns the CPU time of a process, summed over the nanosecond counters
// of its threads. The ticks of /proc/PID/stat, 10 ms each, are too coarse for a
// daemon that runs a few milliseconds per second. Threads that have exited are not
// counted; threads of the Go runtime rarely exit.
func cpuTime(pid int) (time.Duration, error) {
	directory := fmt.Sprintf("/proc/%d/task", pid)
	threads, err := os.ReadDir(directory)
	if err != nil {
		return 0, errors.Wrap(err, "list threads")
	}
	var total time.Duration
	for _, thread := range threads {
		data, err := os.ReadFile(directory + "/" + thread.Name() + "/schedstat")
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return 0, errors.Wrap(err, "read schedstat")
		}
		first, _, _ := bytes.Cut(data, []byte{' '})
		nanos, err := strconv.ParseInt(string(first), 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "parse schedstat")
		}
		total += time.Duration(nanos)
	}
	return total, nil
}

// residentBytes returns the resident memory of a process in bytes.
func residentBytes(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read status")
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[0] == "VmRSS:" {
			kib, err := strconv.ParseInt(fields[1], 10, 64)
			return kib << 10, errors.Wrap(err, "parse VmRSS")
		}
	}
	return 0, errors.New("no VmRSS line in /proc/PID/status")
}

// MachineLoad returns the load average of the machine over one minute, which
// shows whether other processes disturbed a measurement, or "unknown".
func MachineLoad() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	first, _, _ := strings.Cut(string(data), " ")
	return first
}

// OwnCPU returns the CPU time of the calling process, 0 if it can't be read.
func OwnCPU() time.Duration {
	cpu, err := cpuTime(os.Getpid())
	if err != nil {
		return 0
	}
	return cpu
}
