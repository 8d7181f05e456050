package router

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"nutmeglane.example/nutmeglane/internal/accounts"
	"nutmeglane.example/nutmeglane/internal/code"
	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/fleet"
)

// This file finds out which client account a request comes from.
//
// A refusal for an unknown key is final for its caller, who does not come back. But
// operators add keys, and a caller may use one at once, while this router has not read the
// configuration that has it. So an unknown key is refused only after a look into the
// platform's store that began after the request came; until then the request is held. If
// the store can't be asked, the caller is told to come back. Callers who show no key are
// treated alike: the route may have become public.

const (
	// confirmPause is the least time between two looks for the sake of unknown keys:
	// with a look each 200 ms, callers with wrong keys cost the store 5 calls a second
	// and router, however many they are.
	confirmPause = 200 * time.Millisecond
	// holdLimit is how long a request is held for a look: the pause, and some answers'
	// time of a store that is slow.
	holdLimit = 600 * time.Millisecond
	// maxHeld bounds the requests that are held at once.
	maxHeld = 256
	// refusedLasts is how long a key that was looked for in vain is refused without a
	// further look. It ends before that with each newer configuration, so that a caller
	// loses by it only if its key becomes valid and is used before this router has read
	// that, within a second.
	refusedLasts = 10 * time.Second
)

// heldRequest waits for a look into the store.
type heldRequest struct {
	key Key
	in  fleet.Request
	at  core.Time
}

// callers is what a router knows of client accounts.
type callers struct {
	directory *accounts.Directory
	refused   *accounts.Refused
	// held are oldest first.
	held []heldRequest
	// confirmedAt is when the last look that found the configuration to be the newest
	// began, askedAt when one was asked for.
	confirmedAt, askedAt core.Time
}

func newCallers() callers {
	return callers{directory: accounts.NewDirectory(nil), refused: accounts.NewRefused(refusedLasts)}
}

// setAccounts takes the accounts of a newer configuration. Requests that are held for it
// are looked at again.
func (r *Router) setAccounts(list []fleet.Account) {
	next := accounts.NewDirectory(list)
	dropped := r.callers.directory.Dropped(next)
	r.callers.refused.Clear()
	for _, key := range dropped {
		r.callers.refused.Drop(key)
	}
	r.callers.directory = next
	if len(dropped) > 0 {
		r.log(StateChange, "keys of client accounts are no longer valid", slog.Int64("version", r.config.Version), slog.Int("keys", len(dropped)))
	}
	r.judgeHeld(false)
}

// identify finds the account of a request. It reports false where the request goes no
// further: it is held or has been refused.
func (r *Router) identify(req *request, in fleet.Request) bool {
	c := &r.callers
	if len(r.config.Accounts) == 0 {
		return true
	}
	req.account = c.directory.Find(in.Credential)
	switch {
	case req.account != nil || req.route.Public:
		return true
	case !r.configUnread() && (c.confirmedAt >= req.arrived || c.refused.Has(r.now, in.Credential.Key)):
		c.refused.Add(r.now, in.Credential.Key)
		r.finish(req, code.UnknownKey, 0, r.unknownKeyReason(in.Credential))
	default:
		r.hold(req, in)
	}
	return false
}

// unknownKeyReason tells what the refusal rests on: which configuration, and how long ago
// that was the newest.
func (r *Router) unknownKeyReason(credential fleet.Credential) string {
	what := "the API key " + credential.Key.String() + " is unknown"
	if !credential.Given {
		what = "the request shows no API key, or none that can be read"
	}
	return fmt.Sprintf("%s; configuration %d, the newest %v ago", what, r.config.Version, r.now.Sub(r.callers.confirmedAt))
}

// hold keeps a request until a look into the store has shown whether its key is new.
func (r *Router) hold(req *request, in fleet.Request) {
	c := &r.callers
	if r.turnedAway != 0 && !r.configUnread() || len(c.held) >= maxHeld || r.now.Sub(req.arrived) >= holdLimit {
		r.finish(req, code.KeyUnsure, r.returnIn(unknownReturn), "the API key is unknown here, and the store can't be asked whether it is new")
		return
	}
	c.held = append(c.held, heldRequest{key: req.key, in: in, at: req.arrived})
	r.askStore()
}

// askStore asks for a look, unless one is due already.
func (r *Router) askStore() {
	if r.now.Sub(r.callers.askedAt) >= confirmPause {
		r.callers.askedAt = r.now
		r.emit(ReadStore{})
	}
}

// configConfirmed takes in that the configuration in force was the newest at a time.
func (r *Router) configConfirmed(asOf core.Time) {
	r.callers.confirmedAt = max(r.callers.confirmedAt, asOf)
	r.judgeHeld(false)
}

// judgeHeld looks at the held requests again: at those that can be judged now, or at all.
func (r *Router) judgeHeld(all bool) {
	held := r.callers.held
	r.callers.held = nil
	for _, h := range held {
		known := r.callers.directory.Find(h.in.Credential) != nil
		if all || known || r.callers.confirmedAt >= h.at || r.now.Sub(h.at) >= holdLimit {
			r.judge(h.key, h.in, h.at)
			continue
		}
		r.callers.held = append(r.callers.held, h)
	}
}

// checkHeld ends what was held for too long, and asks again for the others.
func (r *Router) checkHeld() {
	if len(r.callers.held) == 0 {
		return
	}
	r.judgeHeld(r.turnedAway != 0 && !r.configUnread() || r.stopAt != core.Never)
	if len(r.callers.held) > 0 {
		r.askStore()
	}
}

// leftWhileHeld forgets a held request whose caller has left.
func (r *Router) leftWhileHeld(key Key) {
	r.callers.held = slices.DeleteFunc(r.callers.held, func(h heldRequest) bool { return h.key == key })
}

// accountName is the account's name, "" without one.
func (req *request) accountName() string {
	if req.account == nil {
		return ""
	}
	return req.account.Name
}

// rank is the request's priority, 0 first: its account's, if that has one, else its
// route's.
func (req *request) rank() int {
	if req.account != nil && req.account.Priority != fleet.RoutePriority {
		return req.account.Priority
	}
	return req.route.Priority
}
