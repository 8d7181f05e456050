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
// The package has no I/O and no clock.
package retrybudget
