package settings

import (
	"time"

	"nutmeglane.example/nutmeglane/internal/core"
)

func defaultCommon() Common {
	return Common{
		Hosts:     Hosts{Interval: 5 * time.Second},
		Timings:   Timings(core.DefaultTimings()),
		Limits:    Limits{QueueLength: 1000, QueueBytes: 16 << 20, StreamWindow: 32},
		Log:       Log{Level: "info", Format: "json"},
		StopLimit: 60 * time.Second,
	}
}

// DefaultEntry returns an entry's settings with all defaults set and the required
// fields empty.
func DefaultEntry() *Entry {
	return &Entry{
		Common: defaultCommon(),
		Callers: Callers{
			MaxBodyBytes:   1 << 20,
			MaxAnswerBytes: 4 << 20,
			DefaultTimeout: 30 * time.Second,
			MaxTimeout:     10 * time.Minute,
			StopDelay:      2 * time.Second,
		},
		KV: KV{Timeout: 2 * time.Second},
	}
}

// DefaultAgent returns an agent's settings with all defaults set and the required
// fields empty.
func DefaultAgent() *Agent {
	return &Agent{
		Common: defaultCommon(),
		Peers:  Peers{UpgradeRate: 50, UpgradeBurst: 100},
	}
}
