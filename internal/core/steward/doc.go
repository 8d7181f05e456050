// Package steward is the sub-reducer that keeps the rosters and the slot tables.
// Every entry runs it; the holder of a KV lease is the steward, and the others
// are on standby.
//
// # Why at most one agent can have a slot loaded
//
// Safety does not depend on the lease: a process that resumes after a pause may
// still act as the steward, and writes that it sent before may arrive late. It
// depends on compare-and-swap alone, by these rules.
//
//  1. A decision is based on committed values only: values that were read,
//     watched, or written with a known success. After a write whose answer was
//     lost, nothing is decided until the key has been read back.
//  2. A generation after g ("g+1" below; the generations of a model increase
//     together) is written by CAS of the slot's chunk, with proof that
//     the owner of g neither has it loaded nor will load it:
//     (1) the owner's incarnation reported g released; it never loads g again;
//     (2) the roster marks the incarnation Fenced (see 3), and either the host
//     is gone with its engine, or the engine has confirmed since that it holds
//     no copy of the model and loads none (see evict.go); or
//     (3) the roster names another incarnation on the same host (see 4); then
//     g+1 goes to that same host only, whose engine may hold the replica.
//  3. A roster entry is marked Fenced by CAS of the zone's roster when either
//     the platform's host list lacks the host, which ran its engine too, or
//     this steward has seen incarnation and Sequence unchanged for Tenure +
//     TenureMargin of its own clock. Fenced is never revoked for an
//     incarnation.
//  4. An entry is changed to another incarnation only if the connection that
//     carried its report was dialled after this steward had seen the entry. A
//     process that answers such a dial is the newest on the host. Without this
//     rule, a report of a dead incarnation that a paused steward kept would
//     replace the live one.
//  5. A Grant contains the Sequence of a committed, unfenced entry, and slots
//     that a committed table assigned to the incarnation.
//
// A Grant may be based on outdated values without harm. Consider a slot that it
// lists at g although g+1 is committed, and the proof that was used. With (1),
// the agent itself remembers that it released g. With (3), or a host that is
// gone, the agent that the Grant addresses does not exist. With (2) and tenure,
// Sequence n of the Grant was committed before the fence, as later roster writes
// keep Fenced. The fencing steward saw n, or a later Sequence, no earlier than
// its commit, and waited Tenure + TenureMargin from there; the agent counts
// Tenure from the sending of report n, which is before the commit. So the
// agent's tenure ended before the fence. Tables fed by the watch are therefore
// sufficient, and a renewal does not need to read them.
//
// Rule 2(3) needs an order of two keys: a roster read before the chunk can
// name an incarnation older than the slot's. The roster must have been read
// after the chunk's revision was seen; watched values do not count as reads.
// An incarnation in a chunk was committed in the roster before, so such a read
// shows it or a later one.
//
// # Why adapters are hashed over one count at a time
//
// AdapterMax of a model's slots changes from L to L' by way of 0
// (adaptermax.go). A slot gets L' only when each slot of the model in the
// committed value has 0 and its owner reported it cleared under that
// incarnation, generation and epoch. The age of the report does not matter: it
// stays true until a higher epoch or generation is written, and a write of
// either makes this one's compare-and-swap fail.
//
// # Outages of the KV service
//
// Nothing can be written, so no agent loses a slot. Agents keep what they own
// for their tenure. The steward keeps their newest reports and renews all
// agents of a zone in one write afterwards. No agent is fenced for Grace after
// the service is back, or after a process became the steward, so that live
// agents renew first.
//
// # Limits
//
// The slots of a fenced agent stay assigned to it, and are not served, while the
// steward can't reach its engine and the host stays in the platform's list. An
// agent that freezes between the check of an order's NotAfter and the write
// that follows, and resumes after TenureMargin, may still send that order; only
// an engine that checks fencing numbers rejects it. A host that changes its
// availability zone needs a new HostID.
package steward
