// Package soak runs routers and loaders as separate processes against small
// stand-ins of their platform, injects faults drawn from a seed, and checks the
// system's guarantees by what callers and backend servers observe. It consists of
// tests:
//
//	go test ./internal/soak                              two seeds, as in CI
//	go test ./internal/soak -run Seeds -seeds 50 -first 1  fifty seeds
//	go test ./internal/soak -run Seeds -first 17 -keep   one seed, logs kept
//	go test ./internal/soak -run BreakOff -seeds 50      fifty seeds with answers broken off
//
// The faults and their times are a function of the seed. The reactions of the
// processes vary a little between runs, because they run in real time.
package soak
