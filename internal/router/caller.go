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

// This file determines which client account a request comes from.
//
// A refusal for an unknown key is final for its caller, which does not retry. But operators
// add keys, and a caller may use a new key at once, before this router has read the
// configuration that contains it. Therefore an unknown key is refused only after a read of
// the platform's store that began after the request arrived; until then the request is
// held. If the store can't be read, the answer is to retry later. Callers without a
// key are treated in the same way: the route may have become public.

const (
	// confirmPause is the minimum time between two reads of the store for the sake of
	// unknown keys. With one read per 200 ms, callers with wrong keys cost the store 5
	// calls a second per router, however many they are.
	confirmPause = 200 * time.Millisecond
	// holdLimit is how long a request is held for a read: the pause, and several response
	// times of a slow store.
	holdLimit = 600 * time.Millisecond
	// maxHeld bounds the number of requests held at once.
	maxHeld = 256
	// refusedTTL is how long a key that was not found is refused without a further read.
	// Each newer configuration ends this earlier, so that a caller is refused wrongly only
	// if its key becomes valid and is used before this router has read that configuration,
	// within a second.
	refusedTTL = 10 * time.Second
)

// heldRequest is a request that waits for a read of the store.
type heldRequest struct {
	key Key
	in  fleet.Request
	at  core.Time
}

// callers is a router's state of client accounts.
type callers struct {
	directory *accounts.Directory
	refused   *accounts.UnknownKeys
	// held is sorted, oldest first.
	held []heldRequest
	// confirmedAt is when the last read began that found the configuration in force to be
	// the newest. readRequestedAt is when a read was last requested.
	confirmedAt, readRequestedAt core.Time
}

func newCallers() callers {
	return callers{directory: accounts.NewDirectory(nil), refused: accounts.NewUnknownKeys(refusedTTL)}
}

// setAccounts installs the accounts of a newer configuration and checks the held requests
// again.
func (r *Router) setAccounts(list []fleet.Account) {
	next := accounts.NewDirectory(list)
	dropped := r.callers.directory.RemovedKeys(next)
	r.callers.refused.Clear()
	for _, key := range dropped {
		r.callers.refused.AddRemoved(key)
	}
	r.callers.directory = next
	if len(dropped) > 0 {
		r.log(StateChange, "keys of client accounts removed", slog.Int64("version", r.config.Version), slog.Int("keys", len(dropped)))
	}
	r.retryHeld(false)
}

// identify finds the account of a request. It returns false if the request does not
// proceed: it is held or has been refused.
func (r *Router) identify(req *request, in fleet.Request) bool {
	c := &r.callers
	if len(r.config.Accounts) == 0 {
		return true
	}
	req.account = c.directory.Find(in.Credential)
	switch {
	case req.account != nil || req.route.Public:
		return true
	case !r.configPending() && (c.confirmedAt >= req.arrived || c.refused.Has(r.now, in.Credential.Key)):
		c.refused.Add(r.now, in.Credential.Key)
		r.finish(req, code.UnknownKey, 0, r.unknownKeyReason(in.Credential))
	default:
		r.hold(req, in)
	}
	return false
}

// unknownKeyReason describes the basis of a refusal: which configuration was used, and how
// long ago it was confirmed to be the newest.
func (r *Router) unknownKeyReason(credential fleet.Credential) string {
	what := "the API key " + credential.Key.String() + " is unknown"
	if !credential.Given {
		what = "the request shows no API key, or none that can be read"
	}
	return fmt.Sprintf("%s; configuration %d, the newest %v ago", what, r.config.Version, r.now.Sub(r.callers.confirmedAt))
}

// hold keeps a request until a read of the store has shown whether its key is new.
func (r *Router) hold(req *request, in fleet.Request) {
	c := &r.callers
	if r.ownReadsFailSince != 0 && !r.configPending() || len(c.held) >= maxHeld || r.now.Sub(req.arrived) >= holdLimit {
		r.finish(req, code.KeyUnsure, r.retryAfterIn(defaultRetryAfter), "the API key is unknown here, and the store can't be asked whether it is new")
		return
	}
	c.held = append(c.held, heldRequest{key: req.key, in: in, at: req.arrived})
	r.requestStoreRead()
}

// requestStoreRead requests a read of the store, unless one was requested within
// confirmPause.
func (r *Router) requestStoreRead() {
	if r.now.Sub(r.callers.readRequestedAt) >= confirmPause {
		r.callers.readRequestedAt = r.now
		r.emit(ReadStore{})
	}
}

// configConfirmed records that the configuration in force was the newest at a time.
func (r *Router) configConfirmed(asOf core.Time) {
	r.callers.confirmedAt = max(r.callers.confirmedAt, asOf)
	r.retryHeld(false)
}

// retryHeld decides on the held requests that can be decided now, or on all of them.
func (r *Router) retryHeld(all bool) {
	held := r.callers.held
	r.callers.held = nil
	for _, h := range held {
		known := r.callers.directory.Find(h.in.Credential) != nil
		if all || known || r.callers.confirmedAt >= h.at || r.now.Sub(h.at) >= holdLimit {
			r.admit(h.key, h.in, h.at)
			continue
		}
		r.callers.held = append(r.callers.held, h)
	}
}

// checkHeld ends requests that were held for too long, and requests another read for the
// rest.
func (r *Router) checkHeld() {
	if len(r.callers.held) == 0 {
		return
	}
	r.retryHeld(r.ownReadsFailSince != 0 && !r.configPending() || r.stopAt != core.Never)
	if len(r.callers.held) > 0 {
		r.requestStoreRead()
	}
}

// dropHeld removes a held request whose caller has cancelled it.
func (r *Router) dropHeld(key Key) {
	r.callers.held = slices.DeleteFunc(r.callers.held, func(h heldRequest) bool { return h.key == key })
}

// accountName returns the account's name, "" without one.
func (req *request) accountName() string {
	if req.account == nil {
		return ""
	}
	return req.account.Name
}

// rank returns the request's priority, 0 highest: its account's if that has one, otherwise
// its route's.
func (req *request) rank() int {
	if req.account != nil && req.account.Priority != fleet.RoutePriority {
		return req.account.Priority
	}
	return req.route.Priority
}
