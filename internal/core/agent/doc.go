// Package agent implements the sub-reducer of the process that runs beside one
// backend server: an engine with accelerator memory, or a plain service.
//
// The agent is the only process that decides about its accelerator memory and
// about the slots that the slot table assigns to its incarnation. A slot at one
// generation belongs to exactly one (host, incarnation), so the system is safe
// if each agent by itself keeps these invariants:
//
//   - It orders a load only while its tenure is valid by its own clock, for a
//     slot that the newest Grant lists as owned and that it has not released.
//   - It reserves memory before it orders a load and frees the reservation only
//     after the engine has confirmed that the checkpoint is unloaded.
//   - It has unloaded everything before its tenure expires.
//   - It answers an attempt with "not run" only if the attempt was never passed
//     to the backend server and never will be.
//
// tenure.go, orders.go, inventory.go and past.go enforce these invariants;
// reconcile.go decides the next action for each slot; job.go, subscriber.go and
// deliver.go process requests and their answers.
package agent
