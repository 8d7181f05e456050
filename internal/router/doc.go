// Package router decides, in one router process, what happens to each request:
// to which backend server it goes, how long it waits for a model to load,
// whether it is tried again, and when it is refused. It also tells the loaders
// beside the engines what its requests wait for.
//
// It is a reducer without I/O or clock: Step takes the time and an event and
// returns effects as data. Package gateway carries them out.
//
// # Who decides what
//
// A loader is the only one that orders its engine. A router asks for models
// (core.Demand) and sends requests where they are loaded (core.Holdings). All
// routers work from the same reports, so that without talking to each other
// they send the cold requests of one model to the same engine. One of them, the
// coordinator, shares out what is scarce for all engines together: loads from
// the weight store (see coordinate.go).
package router
