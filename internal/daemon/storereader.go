package daemon

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"nutmeglane.example/nutmeglane/internal/clock"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
	"nutmeglane.example/nutmeglane/internal/gateway"
	"nutmeglane.example/nutmeglane/internal/registry"
	"nutmeglane.example/nutmeglane/internal/router"
	"nutmeglane.example/nutmeglane/platform"
)

const (
	// storeTimeout bounds a call to the platform's store, which answers in a
	// few ms: longer than any answer of a store that is merely slow.
	storeTimeout = time.Second
	// readsPerBound is how often news of the store comes, at the least, within the
	// shortest time in which a change must be in force. Two may fail or be late.
	readsPerDeadline = 3
	// configWait is how long one call waits for the first configuration. 68 routers
	// that asked each 100 ms until there was one made a third of a day's calls.
	firstConfigPoll = 2 * time.Second
	// relays is how many loaders pass on what a router has read. One may be frozen
	// or cut off; with two, news are late only where both are.
	relayCount = 2
	// maxProblems bounds the faults that are remembered, some 200 bytes each.
	maxLoggedProblems = 500
)

// errOldEra tells of an answer that the store gave before it went back.
var errStaleSnapshot = errors.New("the answer is from before the store went back")

// storeReader keeps a router's view of the platform's store up to date: from its own
// reads and from those of other routers, which loaders pass on. It reads what changed,
// instead of having a watch wait for each change: the registry changes with every
// heartbeat of every server, and each answer of the store is a call that counts.
type storeReader struct {
	store   *platform.Store
	gateway *gateway.Gateway
	// send passes news to loaders.
	send func(to []core.HostID, news core.Message)
	// spread passes a configuration that was read on to the other routers.
	spreadConfig func(*fleet.Config)
	log          *slog.Logger
	// wake ends the wait for the next read, and look makes it due now.
	wake    chan struct{}
	readDue atomic.Bool
	// problems are the faults of the store's values that were logged, by key.
	loggedProblems map[string]string

	// mu guards the reader, and is held while what was read is applied, so that
	// news and own reads are applied in the order in which they are judged.
	mu     sync.Mutex
	reader *registry.Reader
	// wanted is the version of the configuration that was heard of, to be read at
	// wantedDue.
	wantedVersion int64
	wantedDue     core.Time
}

func newStoreReader(store *platform.Store, g *gateway.Gateway, pause time.Duration, log *slog.Logger) *storeReader {
	return &storeReader{
		store: store, gateway: g, log: log, wake: make(chan struct{}, 1), loggedProblems: map[string]string{},
		reader: registry.NewReader(pause, randomUint64()),
	}
}

// run reads until ctx ends. It calls known once the router can judge requests.
func (s *storeReader) run(ctx context.Context, known func()) {
	for ctx.Err() == nil {
		err := s.read(ctx)
		switch {
		case err == nil:
		case errors.Is(err, platform.ErrCompacted):
			s.log.Info("store history was discarded; reading the whole again")
			s.withLock(func() { s.reader.RequireFullRead(clock.Now()) })
		default:
			s.log.Warn("store read failed", "error", err.Error())
			s.gateway.Step(router.StoreState{Reachable: false})
			s.readFailed()
		}
		if known != nil && s.ready() {
			known()
			known = nil
		}
		s.wait(ctx)
	}
}

// setPause replaces the longest time between two looks at the store.
func (s *storeReader) setMaxInterval(pause time.Duration) {
	s.withLock(func() { s.reader.SetMaxInterval(pause) })
}

func (s *storeReader) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *storeReader) ready() bool {
	ready := false
	s.gateway.Look(func(r *router.Router) { ready = r.Ready() })
	return ready
}

func (s *storeReader) configVersion() int64 {
	version := int64(0)
	s.gateway.Look(func(r *router.Router) { version = r.ConfigVersion() })
	return version
}

func (s *storeReader) readFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reader.Failed(clock.Now())
	s.wantedDue = s.reader.Due()
}

// wait returns when the next read is due. News may put that off meanwhile.
func (s *storeReader) wait(ctx context.Context) {
	for ctx.Err() == nil {
		left := clock.Until(s.due())
		if left <= 0 {
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-s.wake:
		}
		timer.Stop()
	}
}

// lookSoon makes the next read due now. It may be called from within a step of the
// reducer, and so takes no lock.
func (s *storeReader) readNow() {
	s.readDue.Store(true)
	s.wakeUp()
}

func (s *storeReader) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// due is when the next read is.
func (s *storeReader) due() core.Time {
	if s.readDue.Load() {
		return clock.Now()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wantedVersion > s.configVersion() {
		return min(s.wantedDue, s.reader.Due())
	}
	return s.reader.Due()
}

// read makes the call that is due.
func (s *storeReader) read(ctx context.Context) error {
	s.readDue.Store(false)
	revision, wanted := int64(0), int64(0)
	s.withLock(func() { revision, wanted = s.reader.Known().Revision, s.wantedVersion })
	switch {
	case revision == 0:
		return s.readWhole(ctx)
	case !s.ready():
		written, err := s.store.AwaitConfig(ctx, revision, firstConfigPoll)
		if err != nil || !written {
			return err
		}
		return s.readChanges(ctx, revision)
	case wanted > s.configVersion():
		return s.readConfig(ctx, wanted)
	default:
		return s.readChanges(ctx, revision)
	}
}

func (s *storeReader) readWhole(ctx context.Context) error {
	begun := clock.Now()
	snapshot, err := s.store.Snapshot(ctx)
	if err != nil {
		return err
	}
	s.logProblems(snapshot.Problems)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateReaderCount()
	s.gateway.Step(router.StoreState{Reachable: true})
	reading := s.reader.ReadWhole(clock.Now(), snapshot.At)
	if reading == registry.Stale {
		return errStaleSnapshot
	}
	if snapshot.Config != nil {
		s.gateway.Step(router.ConfigRead{Config: snapshot.Config})
		s.confirmConfig(begun)
	}
	if reading == registry.Restored {
		s.gateway.Step(router.StoreRestored{To: snapshot.At})
		s.gateway.Step(router.BackendsRestored{Backends: snapshot.Backends})
	} else {
		s.gateway.Step(router.PoisonReported{News: decodeNotes(snapshot.Notes, s.log)})
		s.gateway.Step(router.BackendsRead{Backends: snapshot.Backends})
	}
	if snapshot.Config == nil {
		s.reader.ReadNow(clock.Now()) // by waiting for it
	}
	return nil
}

// readConfig reads a configuration that another router has seen. A version that is
// not there after all is not asked for again.
func (s *storeReader) readConfig(ctx context.Context, wanted int64) error {
	config, err := s.store.Config(ctx)
	if err != nil {
		return err
	}
	s.gateway.Step(router.ConfigRead{Config: config})
	s.withLock(func() {
		if s.wantedVersion == wanted {
			s.wantedVersion = 0
		}
	})
	return nil
}

func (s *storeReader) readChanges(ctx context.Context, revision int64) error {
	begun := clock.Now()
	changes, err := s.store.Changes(ctx, revision, storeTimeout/2)
	if err != nil {
		return err
	}
	s.logProblems(changes.Problems)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateReaderCount()
	s.gateway.Step(router.StoreState{Reachable: true})
	if changes.At.Era > s.reader.Known().Era {
		s.log.Warn("store went back; reading the whole again", "known", s.reader.Known().String(), "now", changes.At.String())
	}
	if changes.Config != nil {
		s.gateway.Step(router.ConfigRead{Config: changes.Config})
		s.spreadConfig(changes.Config)
	}
	s.confirmConfig(begun)
	if s.reader.ReadChanges(clock.Now(), revision, changes.At) == registry.Current {
		poison := decodeNotes(changes.Notes, s.log)
		s.relayChanges(revision, changes, poison)
		s.gateway.Step(router.PoisonReported{News: poison})
		s.gateway.Step(router.BackendsChanged{Written: changes.Written, Removed: changes.Removed})
	}
	return nil
}

// countReaders tells the reader how many routers read the store. The caller holds s.mu.
func (s *storeReader) updateReaderCount() {
	s.gateway.Look(func(r *router.Router) { s.reader.SetReaders(r.Routers()) })
}

// confirm tells the reducer that what it has was the newest when a read began, unless a
// newer version was heard of. The caller holds s.mu.
func (s *storeReader) confirmConfig(begun core.Time) {
	if version := s.configVersion(); version > 0 && s.wantedVersion <= version {
		s.gateway.Step(router.ConfigConfirmed{AsOf: begun})
	}
}

// passOn tells the other routers, before the changes are applied here: what is told is
// what differs from what was known.
func (s *storeReader) relayChanges(from int64, changes platform.Changes, poison core.PoisonNews) {
	news := core.RegistryNews{From: from, To: changes.At.Revision, Era: changes.At.Era, Poison: poison}
	for instance := range changes.Removed {
		news.Removed = append(news.Removed, instance)
	}
	if changes.Config != nil {
		news.Config = changes.Config.Version
	}
	var to []core.HostID
	s.gateway.Look(func(r *router.Router) {
		news.Written = r.ChangedEntries(changes.Written)
		to = r.Relays(relayCount)
	})
	s.send(to, news)
}

// hear takes in what another router has read.
func (s *storeReader) applyPeerNews(news core.RegistryNews) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateReaderCount()
	if s.reader.PeerReadChanges(clock.Now(), news.From, core.StorePosition{Era: news.Era, Revision: news.To}) == registry.Current {
		s.gateway.Step(router.NewsReceived{News: news})
	}
	s.requestConfig(news.Config)
}

// heardOf takes in that a configuration of a version is there.
func (s *storeReader) configAnnounced(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestConfig(version)
}

// want has a configuration read, and asked for if that fails. The caller holds s.mu.
func (s *storeReader) requestConfig(version int64) {
	if version <= max(s.wantedVersion, s.configVersion()) {
		return
	}
	s.wantedVersion, s.wantedDue = version, clock.Now().Add(s.configReadDelay())
	s.gateway.Step(router.ConfigAnnounced{Version: version})
	s.wakeUp()
}

// spreadWait is how long a configuration is left to be passed on. Few routers read first if
// it is not, as with the registry's news.
func (s *storeReader) configReadDelay() time.Duration {
	wait := time.Duration(0)
	s.gateway.Look(func(r *router.Router) { wait = r.ConfigRelayWait() })
	return time.Duration(s.reader.DelayFraction() * float64(wait))
}

// report logs values of the platform that can't be decoded. One that is written
// again and again is told once, until it changes.
func (s *storeReader) logProblems(problems []platform.Problem) {
	for _, problem := range problems {
		text := problem.Err.Error()
		if s.loggedProblems[problem.Key] == text {
			continue
		}
		if len(s.loggedProblems) >= maxLoggedProblems {
			clear(s.loggedProblems)
		}
		s.loggedProblems[problem.Key] = text
		s.log.Error("value of the platform can't be read and is left out", "key", problem.Key, "error", text)
	}
}
