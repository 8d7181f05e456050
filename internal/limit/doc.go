// Package limit enforces the limits that backend servers announce: how many requests a
// second they take from all routers together.
//
// # Enforcement
//
// For each server that announces a limit, one loader counts the requests of all routers
// (Limiter). It is the loader next to the server if there is one, so that it has the same
// view of the network as the server and fails together with it. A router requests a
// permit from it for each request to that server (Gate) and sends the request once the
// permit is granted. Requests to a server without a limit need no permit.
//
// If the loader does not answer, each router sends an equal share on its own.
//
// A request needs both a token of a bucket that fills at the limit, and room in a sliding
// window. The window also counts what the server received before it announced its limit,
// when it was sent more than it takes. The bucket prevents everything that the window has
// room for from being sent at once.
//
// # Shares
//
// The permits of an engine with a budget are granted by rank and by the shares of client accounts
// (package fairshare). A router that is refused for one of these reasons holds back only the
// requests that the refusal concerns (Holds).
//
// # Propagation
//
// A router reports to the loader the limits that answers contain, and the loader sends
// changes to all routers, so that routers which have had no answer from the server since
// also observe it. A limit ends with the life of the server that announced it, or with an
// answer that contains none.
//
// The package has no I/O and no clock.
package limit
