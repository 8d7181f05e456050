// Package retrybudget bounds the retries to a service over all routers together, without a message
// for a retry.
//
// # Bound
//
// In each window, wherever it begins, a service gets at most ratio x requests + slack retries, by
// their arrival there. Routers start, end, freeze and lose contact at any time, and one that
// starts knows nothing of what the process before it on its host has sent.
//
// # The ratio
//
// A router earns a part of a retry with each of its requests (Budget). What it earned and has not
// used expires after a quarter of the window. Therefore neither a process that ends nor one that
// starts can add more than that quarter to a window, and the part earned is lower than the ratio by
// as much: over any window, with the quarter before it, the retries are within the ratio for steady
// traffic.
//
// # Late arrivals
//
// A retry counts when it arrives, which may be seconds after it was sent: its server stands still, or
// a link holds it. So may the attempt before it, which its router has left. Therefore a Tracker
// follows the attempts of a request until each has arrived or never will, as its outcome shows. Until
// then, and for a window after it, the request's retries keep the part of the slack that they use; an
// earned retry that takes longer than a twentieth of the window uses the slack from then on as well.
// What arrives within a window is then in use together at its end.
//
// # The slack
//
// Each router has an even part of the slack, at any time within a window (Share). It may use the
// part once it has been in contact with more than half of the loaders for one and a half windows:
// by then what the process before it sent has left the window, the others know that it is there,
// and what they sent while their parts were larger has left the window as well. A router that
// loses contact uses its part no longer, since it can't learn of others that start. The number of
// routers is the largest one known within one and a half windows, since what routers sent that
// have ended is still in the window.
//
// The package has no I/O and no clock.
package retrybudget
