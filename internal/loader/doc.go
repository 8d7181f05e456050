// Package loader decides, in the process beside one engine, which models and
// adapters the engine holds. It is a reducer without I/O or clock: Step takes
// the time and an event and returns effects as data.
//
// A loader is the only process that ever orders its engine, so that the engine
// has one holder, and accelerator memory is counted in one place. It keeps
// nothing: after a restart it reads the engine's report and the routers'
// demands again. Each order carries the engine's order count that it was
// decided on, so that an order which arrives late, after others, is refused.
package loader
