// Package overload measures a small fleet of daemon processes under overload:
// goodput and refusals at multiples of its capacity, the time to the first token of
// one client account while another sends far more than the capacity, and that of
// interactive bursts while batch requests run.
package overload
