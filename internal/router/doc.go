// Package router decides, within one router process, what happens to each request: which
// backend server it goes to, how long it waits for a model to load, whether it is retried,
// and when it is refused. It also reports to the loaders beside the engines which models
// its requests wait for.
//
// The router is a reducer without I/O or clock: Step takes the time and an event and
// returns effects as data. Package gateway carries them out.
//
// # Responsibilities
//
// A loader is the only process that gives orders to its engine. A router asks for models
// (core.Demand) and sends requests to engines that have them loaded (core.Holdings). All
// routers work from the same reports, so that without communicating they send the cold
// requests of one model to the same engine. One of them, the coordinator, allocates what is
// scarce for all engines together: loads from the weight store (see coordinate.go).
package router
