// Package load is an open-loop load generator for the entries' HTTP interface
// that checks each answer against the one expected for its request.
//
// The arrivals of a Plan are drawn from its seed before the run and sent at
// their intended times, independent of the answers. Latency is measured from the
// intended time, so that a stall of the system shows in all requests that it
// delayed and not only in those that were open (coordinated omission). A limit
// on the number of requests or of open requests that takes effect is reported
// in Summary.Bounds.
//
// The expected answers are those of the stand-in engine (engine.Answer) and of
// the stand-in service (an echo), so a run needs these as backend servers. Their
// referees, if the plan lists them, report what a caller can't observe: calls
// that ran twice, and refused calls that ran.
//
// Only loopback targets are accepted.
package load
