// Package wire maintains the connections between the system's processes, which
// carry CBOR messages over WebSocket (RFC 6455). An entry dials and an agent
// accepts; both use a Node. Of two processes only one may dial the other.
//
// # Order
//
// Messages of one connection arrive in the order of their Send effects and at
// most once. When a connection is lost, any suffix of its messages may be lost.
// Each connection has one FIFO queue for all types of message, so that Accepted,
// Rejected and the Frames of an attempt can't overtake each other. Control messages
// need no queue of their own: Grant, Credit and Cancel are sent to the agent, in
// the opposite direction to frames, and Report waits at most for the frames that
// the credit of the streams allows the agent to queue.
// BenchmarkControlBehindFrames measures that wait behind 1 MiB of frames.
//
// # Batches
//
// The writer combines queued messages, up to the batch size, into one WebSocket
// message: a CBOR sequence (RFC 8742) of the envelopes of package core.
//
// # Idle cost
//
// A process may hold thousands of mostly idle connections, so an idle connection
// has a single goroutine, its reader. A writer runs only while the queue is
// non-empty, and pings are started by a timer. BenchmarkIdleConnections measures
// the memory.
package wire
