// Package loader decides which models and adapters one engine holds. It runs in the
// process next to that engine. It is a reducer without I/O or clock: Step takes the time
// and an event and returns effects as data.
//
// A loader is the only process that sends orders to its engine, so accelerator memory is
// accounted for in one place. It persists nothing: after a restart it reads the engine's
// report and the routers' demands again. Each order carries the order count of the engine
// state that it was decided on, so that the engine refuses an order that arrives late,
// after others.
package loader
