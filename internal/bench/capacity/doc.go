// Package capacity measures the resource costs that docs/CAPACITY.md is
// calculated from: the cost to each role per connection, adapter, replica,
// configuration change, adapter wake, request and token. Daemons run as separate
// processes against fakes of the platform's services. The rates of KV calls in
// fleets of thousands of hosts are measured with the reducers in virtual time.
package capacity
