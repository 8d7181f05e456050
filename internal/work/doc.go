// Package work predicts how long an engine takes until the first event of a generation.
// It covers prompts of very different length: one of 9,000 tokens takes a quarter of a
// second to read, one of 800 tokens a fortieth of a second. If requests were counted they
// would look the same, and a request would be sent to wait behind three long prompts
// because another engine has four short ones.
//
// Work is measured by the time that an engine takes to read prompts:
//
//   - Speed: how long a model's tokens take, estimated from answers.
//   - Queue: how much reading a router has sent to one engine that has not started.
//   - Cache: which parts of prompts an engine has read and need not read again.
//
// The package has no I/O and no clock. It has no built-in figures of an engine: its
// initial estimates are replaced by the first answers.
package work
