// Package enginebudget computes how many requests per second an engine can begin without its
// running streams falling behind. It is admission control: the loader beside an engine feeds
// it the engine's reports and enforces the result as a limit.
//
// An engine reads prompts between the steps of its running requests, so that the time to read
// them adds to the duration of a step. An engine that reads all the time starves the streams
// that it already runs.
//
// # Overload
//
// The engine counts as crowded (overloaded) if the last unread prompt is predicted to be read
// later than half of the first-event objective, if the mean pause between the events of its
// streams exceeds half of the pause objective, or if running requests fill its KV memory.
//
// # Control
//
// Overload by prompts sets the limit directly, to what the engine can read less the backlog.
// Overload by pauses or memory lowers it in steps until the excess shrinks. Without overload
// the limit rises in steps, and it ends once it exceeds the demand by far.
//
// The package has no I/O and no clock.
package enginebudget
