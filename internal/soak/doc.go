// Package soak runs routers and loaders as separate processes against small
// stand-ins of their platform, disturbs them from outside with faults drawn from
// a seed, and checks from what callers and backend servers see that every
// promise holds. It consists of tests:
//
//	go test ./internal/soak                              two seeds, as in CI
//	go test ./internal/soak -run Seeds -seeds 50 -first 1  fifty seeds
//	go test ./internal/soak -run Seeds -first 17 -keep   one seed, logs kept
//
// A seed draws the same faults at the same times again; what the processes make
// of them differs a little, as they run in real time.
package soak
