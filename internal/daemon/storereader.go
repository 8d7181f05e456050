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
	// storeTimeout limits a call to the platform's store, which answers in a
	// few ms. It is longer than any answer of a store that is only slow.
	storeTimeout = time.Second
	// readsPerDeadline is the least number of times that the store's changes are
	// obtained within the shortest time in which a change must be in force. Two of
	// them may fail or be late.
	readsPerDeadline = 3
	// firstConfigPoll is how long one call waits for the first configuration. 68
	// routers that polled every 100 ms until there was one caused a third of a day's
	// calls.
	firstConfigPoll = 2 * time.Second
	// relayCount is the number of loaders that relay the changes that a router has
	// read. One may be suspended or unreachable; with two, changes are late only if
	// both are.
	relayCount = 2
	// requestedReadWait is how long a read that the reducer has requested waits for changes: not at
	// all. What follows waits for its answer.
	requestedReadWait = time.Millisecond
	// maxLoggedProblems limits the errors that are kept to avoid repeated log
	// lines, about 200 bytes each.
	maxLoggedProblems = 500
)

// errStaleSnapshot is returned for a snapshot that the store sent before it was restored
// to an earlier state.
var errStaleSnapshot = errors.New("the snapshot is from before the store was restored")

// storeReader keeps a router's view of the platform's store up to date, by its own
// reads and by those of other routers, which loaders relay. It polls for changes
// instead of watching them: the registry changes with every heartbeat of every server,
// and each answer of the store counts as a call.
type storeReader struct {
	store   *platform.Store
	gateway *gateway.Gateway
	// send sends a message to loaders.
	send func(to []core.HostID, news core.Message)
	// spreadConfig sends a configuration that was read to the other routers.
	spreadConfig func(*fleet.Config)
	log          *slog.Logger
	// wake interrupts the wait for the next read, to check when it is due; readDue
	// makes it due at once.
	wake    chan struct{}
	readDue atomic.Bool
	// loggedProblems maps the key of a malformed value in the store to the error
	// that was logged for it.
	loggedProblems map[string]string

	// mu guards the fields below. It is held while changes are applied, so that
	// own and relayed changes are applied in the order in which reader accepted
	// them.
	mu     sync.Mutex
	reader *registry.Reader
	// wantedVersion is the announced version of the configuration, which is to be
	// read at wantedDue unless it is in force by then.
	wantedVersion int64
	wantedDue     core.Time
}

func newStoreReader(store *platform.Store, g *gateway.Gateway, pause time.Duration, log *slog.Logger) *storeReader {
	return &storeReader{
		store: store, gateway: g, log: log, wake: make(chan struct{}, 1), loggedProblems: map[string]string{},
		reader: registry.NewReader(pause, randomUint64()),
	}
}

// run reads until ctx ends. It calls known once, when the router is ready to process
// requests.
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

// setMaxInterval replaces the longest time between two reads of the store.
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
	s.gateway.Inspect(func(r *router.Router) { ready = r.Ready() })
	return ready
}

func (s *storeReader) configVersion() int64 {
	version := int64(0)
	s.gateway.Inspect(func(r *router.Router) { version = r.ConfigVersion() })
	return version
}

func (s *storeReader) readFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reader.Failed(clock.Now())
	s.wantedDue = s.reader.Due()
}

// wait returns when the next read is due. Relayed changes may postpone it.
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

// readNow makes the next read due at once. It takes no lock, because it may be called
// within a step of the reducer.
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

// due returns the time of the next read.
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

// read makes the call to the store that is due.
func (s *storeReader) read(ctx context.Context) error {
	wait := storeTimeout / 2
	if s.readDue.Swap(false) {
		wait = requestedReadWait
	}
	revision, wanted := int64(0), int64(0)
	s.withLock(func() { revision, wanted = s.reader.Known().Revision, s.wantedVersion })
	switch {
	case revision == 0:
		return s.readSnapshot(ctx)
	case !s.ready():
		written, err := s.store.AwaitConfig(ctx, revision, firstConfigPoll)
		if err != nil || !written {
			return err
		}
		return s.readChanges(ctx, revision, wait)
	case wanted > s.configVersion():
		return s.readConfig(ctx, wanted)
	default:
		return s.readChanges(ctx, revision, wait)
	}
}

func (s *storeReader) readSnapshot(ctx context.Context) error {
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
	reading := s.reader.ReadWhole(clock.Now(), snapshot.Position)
	if reading == registry.Stale {
		return errStaleSnapshot
	}
	if snapshot.Config != nil {
		s.gateway.Step(router.ConfigRead{Config: snapshot.Config})
		s.confirmConfig(begun)
	}
	if reading == registry.Restored {
		s.gateway.Step(router.StoreRestored{To: snapshot.Position})
		s.gateway.Step(router.EvacuationsRestored{Zones: snapshot.Evacuated})
		s.gateway.Step(router.BackendsRestored{Backends: snapshot.Backends})
	} else {
		s.gateway.Step(router.EvacuationsRead{Zones: snapshot.Evacuated})
		s.gateway.Step(router.PoisonReported{News: decodeNotes(snapshot.Notes, s.log)})
		s.gateway.Step(router.ReleasesNoted{Notes: releaseNotes(snapshot.Notes)})
		s.gateway.Step(router.BackendsRead{Backends: snapshot.Backends})
	}
	s.confirmRegistry(begun, snapshot.Position)
	if snapshot.Config == nil {
		s.reader.ReadNow(clock.Now()) // the next read waits for the first configuration
	}
	return nil
}

// readConfig reads a configuration that was announced. If the store does not have that
// version, it is not requested again.
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

// readChanges reads the changes since a revision. It waits up to wait for the first one.
func (s *storeReader) readChanges(ctx context.Context, revision int64, wait time.Duration) error {
	begun := clock.Now()
	changes, err := s.store.Changes(ctx, revision, wait)
	if err != nil {
		return err
	}
	s.logProblems(changes.Problems)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateReaderCount()
	s.gateway.Step(router.StoreState{Reachable: true})
	if changes.Position.Era > s.reader.Known().Era {
		s.log.Warn("store went back; reading the whole again", "known", s.reader.Known().String(), "now", changes.Position.String())
	}
	if changes.Config != nil {
		s.gateway.Step(router.ConfigRead{Config: changes.Config})
		s.spreadConfig(changes.Config)
	}
	s.confirmConfig(begun)
	defer s.confirmRegistry(begun, changes.Position)
	if s.reader.ReadChanges(clock.Now(), revision, changes.Position) == registry.Current {
		poison := decodeNotes(changes.Notes, s.log)
		s.relayChanges(revision, changes, poison)
		s.gateway.Step(router.PoisonReported{News: poison})
		s.gateway.Step(router.EvacuationsChanged{Zones: changes.Evacuations})
		s.gateway.Step(router.BackendsChanged{Written: changes.Written, Removed: changes.Removed, Passed: changes.Passed})
	}
	return nil
}

// updateReaderCount passes the number of routers that read the store to the reader. The
// caller holds s.mu.
func (s *storeReader) updateReaderCount() {
	s.gateway.Inspect(func(r *router.Router) { s.reader.SetReaders(r.Routers()) })
}

// confirmConfig reports to the reducer that its configuration was the newest when a read
// began, unless a newer version was announced. The caller holds s.mu.
func (s *storeReader) confirmConfig(begun core.Time) {
	if version := s.configVersion(); version > 0 && s.wantedVersion <= version {
		s.gateway.Step(router.ConfigConfirmed{AsOf: begun})
	}
}

// confirmRegistry reports to the reducer that it knows the registry as a read that began at a time found
// it, up to a position, unless the whole has to be read. The caller holds s.mu.
func (s *storeReader) confirmRegistry(begun core.Time, at core.StorePosition) {
	if known := s.reader.Known(); known.Era == at.Era && known.Revision >= at.Revision {
		s.gateway.Step(router.RegistryConfirmed{AsOf: begun})
	}
}

// relayChanges sends changes to the other routers. It must be called before the changes
// are applied here: of the written values, only those that differ from the known ones are
// sent.
func (s *storeReader) relayChanges(from int64, changes platform.Changes, poison core.PoisonNews) {
	news := core.RegistryNews{
		From: from, To: changes.Position.Revision, Era: changes.Position.Era, Poison: poison, Evacuations: changes.Evacuations,
	}
	for instance := range changes.Removed {
		news.Removed = append(news.Removed, instance)
	}
	if changes.Config != nil {
		news.Config = changes.Config.Version
	}
	var to []core.HostID
	s.gateway.Inspect(func(r *router.Router) {
		news.Written = r.ChangedEntries(changes.Written)
		to = r.Relays(relayCount)
	})
	s.send(to, news)
}

// applyPeerNews applies changes that another router has read.
func (s *storeReader) applyPeerNews(news core.RegistryNews) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateReaderCount()
	if s.reader.PeerReadChanges(clock.Now(), news.From, core.StorePosition{Era: news.Era, Revision: news.To}) == registry.Current {
		s.gateway.Step(router.NewsReceived{News: news})
	}
	s.requestConfig(news.Config)
}

// configAnnounced records that a configuration of a version exists.
func (s *storeReader) configAnnounced(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestConfig(version)
}

// requestConfig schedules the read of a configuration unless its version is known, and
// reports the version to the reducer, which requests it from loaders if reads fail. The
// caller holds s.mu.
func (s *storeReader) requestConfig(version int64) {
	if version <= max(s.wantedVersion, s.configVersion()) {
		return
	}
	s.wantedVersion, s.wantedDue = version, clock.Now().Add(s.configReadDelay())
	s.gateway.Step(router.ConfigAnnounced{Version: version})
	s.wakeUp()
}

// configReadDelay returns how long the router waits for an announced configuration to be
// relayed before it reads it itself. The delay is random, so that only a few routers read
// if it is not relayed, as with changes of the registry.
func (s *storeReader) configReadDelay() time.Duration {
	wait := time.Duration(0)
	s.gateway.Inspect(func(r *router.Router) { wait = r.ConfigRelayWait() })
	return time.Duration(s.reader.DelayFraction() * float64(wait))
}

// logProblems logs values of the platform that can't be decoded. A value that is
// written repeatedly is logged once, until its error changes.
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
