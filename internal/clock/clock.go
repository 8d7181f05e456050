// Package clock provides the time that reducers use.
package clock

import (
	"time"

	"golang.org/x/sys/unix"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Now returns the time since the host booted, in nanoseconds.
//
// It uses CLOCK_BOOTTIME, which includes the time that the host was suspended or
// migrated. CLOCK_MONOTONIC, which package time uses, stops during that time: an
// agent would resume with a tenure that has expired for all other processes, and
// would load a slot that has a new owner.
func Now() core.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return core.Time(ts.Nano())
}

// Until returns the duration from now to t, at most a day, so that the result can
// be used for a timer even if t is core.Never.
func Until(t core.Time) time.Duration {
	const longest = 24 * time.Hour
	if t == core.Never {
		return longest
	}
	return min(t.Sub(Now()), longest)
}
