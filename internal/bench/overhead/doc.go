// Package overhead measures the overhead of an entry and an agent: the time to
// the first token compared with a direct call of the engine, and the CPU time per
// request and per token with many concurrent streams. Daemons run as separate
// processes, or in the calling process if a CPU profile is wanted.
package overhead
