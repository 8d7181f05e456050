package core

import (
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// envelope is the stable encoded form of a message, event or effect: a type
// number that is never reused, and the body.
type envelope struct {
	_    struct{} `cbor:",toarray"`
	Type uint16
	Body cbor.RawMessage
}

// catalog maps type numbers to types and back.
type catalog struct {
	byNumber map[uint16]reflect.Type
	byType   map[reflect.Type]uint16
}

func newCatalog(entries map[uint16]any) *catalog {
	c := &catalog{byNumber: map[uint16]reflect.Type{}, byType: map[reflect.Type]uint16{}}
	for number, value := range entries {
		t := reflect.TypeOf(value)
		c.byNumber[number] = t
		c.byType[t] = number
	}
	return c
}

func (c *catalog) encode(value any) ([]byte, error) {
	number, ok := c.byType[reflect.TypeOf(value)]
	if !ok {
		return nil, errors.Newf("type %T has no number in the catalog", value)
	}
	body, err := encMode.Marshal(value)
	if err != nil {
		return nil, errors.Wrapf(err, "encode %T", value)
	}
	return encMode.Marshal(envelope{Type: number, Body: body})
}

func (c *catalog) decode(data []byte) (any, error) {
	value, rest, err := c.decodeFirst(data)
	if err == nil && len(rest) > 0 {
		return nil, errors.Newf("%d bytes after the value", len(rest))
	}
	return value, err
}

// decodeFirst decodes the first value of a sequence and returns the rest.
func (c *catalog) decodeFirst(data []byte) (value any, rest []byte, err error) {
	var env envelope
	rest, err = decMode.UnmarshalFirst(data, &env)
	if err != nil {
		return nil, nil, errors.Wrap(err, "decode envelope")
	}
	t, ok := c.byNumber[env.Type]
	if !ok {
		return nil, nil, errors.Newf("unknown type number %d", env.Type)
	}
	into := reflect.New(t)
	if err := decMode.Unmarshal(env.Body, into.Interface()); err != nil {
		return nil, nil, errors.Wrapf(err, "decode %s", t.Name())
	}
	return into.Elem().Interface(), rest, nil
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode()

	messages = newCatalog(map[uint16]any{
		1: Hello{}, 2: Welcome{}, 3: Status{}, 4: Report{}, 5: Grant{},
		6: Start{}, 7: Accepted{}, 8: Rejected{}, 9: Frame{}, 10: Credit{},
		11: Cancel{}, 12: Resume{}, 13: NotStarted{}, 14: Leaving{},
		15: ConfigHead{}, 16: ConfigWant{}, 17: ConfigChunk{},
		18: PermitRequest{}, 19: PermitGrant{}, 20: PermitDone{},
		21: Demand{}, 22: Holdings{}, 23: Counts{}, 24: RegistryNews{}, 25: PoisonNews{},
		28: ConfigWanted{}, 29: ConfigPassed{}, 30: SpecWanted{}, 31: LimitRequest{}, 32: LimitReply{},
		33: QuotaRequest{}, 34: QuotaReply{}, 35: LoadDigest{}, 36: ConfigSpread{}, 37: ServerDraining{},
		38: OriginNews{}, 39: OriginQuery{}, 40: OriginReply{}, 41: ReleaseNote{},
	})
	events = newCatalog(map[uint16]any{
		1: Tick{}, 2: Received{}, 3: PeerUp{}, 4: PeerDown{}, 5: HostList{},
		6: ConfigInForce{}, 7: Stop{}, 8: KVValue{}, 9: KVReachable{},
		10: KVResult{}, 11: RequestArrived{}, 12: CallerGone{}, 13: CallerTook{},
		14: Inventory{}, 15: OrderDone{}, 16: EngineLoad{}, 17: RunProgress{},
		40: ApplyRequested{},
		50: EvictDone{},
	})
	effects = newCatalog(map[uint16]any{
		1: Wake{}, 2: Dial{}, 3: Hangup{}, 4: Send{}, 5: KVGet{}, 6: KVCas{},
		7: KVLease{}, 8: KVKeepAlive{}, 9: RespondHead{}, 10: RespondData{},
		11: RespondEnd{}, 12: TakeInventory{}, 13: Order{}, 14: Run{},
		15: CancelRun{}, 16: PauseRun{}, 17: Ready{}, 18: Exit{}, 19: Note{},
		20: Count{}, 21: Observe{}, 22: ConfigApplied{},
		40: ApplyDone{},
		50: Evict{},
	})
)

// Limits of decoding. They bound the elements of one array or map and the nesting
// depth that a message or a KV value can make a process allocate.
const (
	maxElements = 1 << 17
	maxNesting  = 16
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
		// Header values of callers may hold any bytes. If they were refused here,
		// one caller could end a connection together with all streams on it.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// EncodeMessage returns the wire encoding of a message.
func EncodeMessage(m Message) ([]byte, error) { return messages.encode(m) }

// DecodeMessage decodes the wire encoding of a message.
func DecodeMessage(data []byte) (Message, error) {
	value, err := messages.decode(data)
	if err != nil {
		return nil, err
	}
	return value.(Message), nil
}

// DecodeFirstMessage decodes the first message of a sequence and returns the rest.
func DecodeFirstMessage(data []byte) (m Message, rest []byte, err error) {
	value, rest, err := messages.decodeFirst(data)
	if err != nil {
		return nil, nil, err
	}
	return value.(Message), rest, nil
}

// EncodeEvent returns the stable encoding of an event.
func EncodeEvent(e Event) ([]byte, error) { return events.encode(e) }

// DecodeEvent decodes what EncodeEvent returns.
func DecodeEvent(data []byte) (Event, error) {
	value, err := events.decode(data)
	if err != nil {
		return nil, err
	}
	return value.(Event), nil
}

// EncodeEffect returns the stable encoding of an effect.
func EncodeEffect(e Effect) ([]byte, error) { return effects.encode(e) }

// DecodeEffect decodes what EncodeEffect returns.
func DecodeEffect(data []byte) (Effect, error) {
	value, err := effects.decode(data)
	if err != nil {
		return nil, err
	}
	return value.(Effect), nil
}

// receivedForm and sendForm are the encoded forms of Received and Send.
type receivedForm struct {
	From    HostID          `cbor:"1,keyasint"`
	Message cbor.RawMessage `cbor:"2,keyasint"`
}

type sendForm struct {
	To      HostID          `cbor:"1,keyasint"`
	Message cbor.RawMessage `cbor:"2,keyasint"`
}

// MarshalCBOR implements cbor.Marshaler.
func (r Received) MarshalCBOR() ([]byte, error) {
	body, err := EncodeMessage(r.Message)
	if err != nil {
		return nil, err
	}
	return encMode.Marshal(receivedForm{From: r.From, Message: body})
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (r *Received) UnmarshalCBOR(data []byte) error {
	var form receivedForm
	if err := decMode.Unmarshal(data, &form); err != nil {
		return err
	}
	m, err := DecodeMessage(form.Message)
	*r = Received{From: form.From, Message: m}
	return err
}

// MarshalCBOR implements cbor.Marshaler.
func (s Send) MarshalCBOR() ([]byte, error) {
	body, err := EncodeMessage(s.Message)
	if err != nil {
		return nil, err
	}
	return encMode.Marshal(sendForm{To: s.To, Message: body})
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (s *Send) UnmarshalCBOR(data []byte) error {
	var form sendForm
	if err := decMode.Unmarshal(data, &form); err != nil {
		return err
	}
	m, err := DecodeMessage(form.Message)
	*s = Send{To: form.To, Message: m}
	return err
}

// EncodeValue returns the encoding of a value for the KV service, such as a
// SlotTable, Roster or StewardRecord.
func EncodeValue(value any) ([]byte, error) { return encMode.Marshal(value) }

// DecodeValue decodes what EncodeValue returns into value, a pointer.
func DecodeValue(data []byte, value any) error { return decMode.Unmarshal(data, value) }
