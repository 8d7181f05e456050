package core

import "time"

const (
	// maxLoadRequests bounds the numbers of requests and slots in a reported load. No server
	// runs or queues as many requests, and sums of some such values can't overflow.
	maxLoadRequests = 10_000
	// maxLoadTime bounds the durations in a reported load, far above the longest objective
	// of a plain service.
	maxLoadTime = 10 * time.Minute
)

// ServerLoad is the load that a server of a plain service stated in an answer, as a router
// reports it to the loader that counts for the server.
type ServerLoad struct {
	// Running and Waiting are numbers of requests, Slots that of requests that run at once.
	Running int `cbor:"1,keyasint"`
	Waiting int `cbor:"2,keyasint"`
	Slots   int `cbor:"3,keyasint"`
	// Usual is the present time of an answer without waiting, as measured by the router.
	Usual time.Duration `cbor:"4,keyasint"`
	// Objective is the shortest objective of the routes to the service.
	Objective time.Duration `cbor:"5,keyasint"`
}

// malformedLoad stands for a load that can't be decoded. It is not valid.
var malformedLoad = ServerLoad{Slots: -1}

// Valid reports whether all values are within their bounds.
func (l ServerLoad) Valid() bool {
	number := func(n, least int) bool { return n >= least && n <= maxLoadRequests }
	duration := func(d time.Duration) bool { return d > 0 && d <= maxLoadTime }
	return number(l.Running, 0) && number(l.Waiting, 0) && number(l.Slots, 1) &&
		duration(l.Usual) && duration(l.Objective)
}

// loadForm is ServerLoad without its methods.
type loadForm ServerLoad

// UnmarshalCBOR implements cbor.Unmarshaler. A load that can't be decoded yields a value that
// is not valid instead of an error, which would close the connection that all of a router's
// messages share.
func (l *ServerLoad) UnmarshalCBOR(data []byte) error {
	var form loadForm
	if err := decMode.Unmarshal(data, &form); err != nil {
		*l = malformedLoad
		return nil
	}
	*l = ServerLoad(form)
	return nil
}
