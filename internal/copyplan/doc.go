// Package copyplan decides on which engines each model of a service should be loaded, and
// which models should be read from the weight store ahead of requests.
//
// A Planner turns a Snapshot of the service into a Plan. It has no I/O and no clock: the
// time is part of the Snapshot. What lasts between two plans (earlier rates, and the number
// of copies that a model needed before) is kept in the Planner.
//
// The assignment is greedy: the load with the largest gain per second of load time chooses
// its engine first. It is within one copy of an exact assignment, and stable.
package copyplan
