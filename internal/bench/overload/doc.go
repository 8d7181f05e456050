// Package overload measures what a small system of separate processes does
// with more load than it can carry: goodput and refusals at multiples of its
// capacity, one client account's first tokens while another floods the system, and
// an interactive burst in the middle of batch work.
package overload
