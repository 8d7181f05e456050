package core

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// requestBeforeShares and replyBeforeShares are the messages of the previous build.
type (
	requestBeforeShares struct {
		Server    ServerLife    `cbor:"1,keyasint"`
		Limit     ReportedLimit `cbor:"2,keyasint"`
		RequestID uint64        `cbor:"3,keyasint,omitempty"`
		Spare     bool          `cbor:"4,keyasint,omitempty"`
		Uncounted []float64     `cbor:"5,keyasint,omitempty"`
		ColdFor   time.Duration `cbor:"6,keyasint,omitempty"`
	}
	replyBeforeShares struct {
		Server    ServerLife    `cbor:"1,keyasint"`
		Limit     ReportedLimit `cbor:"2,keyasint"`
		RequestID uint64        `cbor:"3,keyasint,omitempty"`
		Granted   bool          `cbor:"4,keyasint,omitempty"`
		Room      time.Duration `cbor:"5,keyasint,omitempty"`
		Spare     bool          `cbor:"6,keyasint,omitempty"`
		ColdFor   time.Duration `cbor:"7,keyasint,omitempty"`
	}
)

func messagesBeforeShares() *catalog {
	return newCatalog(map[uint16]any{31: requestBeforeShares{}, 32: replyBeforeShares{}})
}

// Guards against an update during which routers and loaders can't decode each other's
// messages: the previous build must ignore the new fields, and its own messages must be
// decoded with the new fields empty.
func TestLimitMessagesBeforeShares(t *testing.T) {
	server := ServerLife{Instance: "i-4f6d9f84b0", Born: 1764745965123}
	limit := ReportedLimit{Named: true, PerSecond: 4.7, SentAgo: 2, ReceivedAgo: 1}
	for _, test := range []struct {
		name                string
		previous            any
		same, withNewFields Message
	}{
		{
			"request",
			requestBeforeShares{Server: server, Limit: limit, RequestID: 7, Spare: true, Uncounted: []float64{1, 0}, ColdFor: 3},
			LimitRequest{Server: server, Limit: limit, RequestID: 7, Spare: true, Uncounted: []float64{1, 0}, ColdFor: 3},
			LimitRequest{
				Server: server, Limit: limit, RequestID: 7, Spare: true, Uncounted: []float64{1, 0}, ColdFor: 3,
				Account: "a", Weight: 12.5, Rank: 2, Slack: time.Second,
			},
		},
		{
			"reply",
			replyBeforeShares{Server: server, Limit: limit, RequestID: 7, Room: 5, Spare: true, ColdFor: 3},
			LimitReply{Server: server, Limit: limit, RequestID: 7, Room: 5, Spare: true, ColdFor: 3},
			LimitReply{Server: server, Limit: limit, RequestID: 7, Room: 5, Spare: true, ColdFor: 3, Cause: ShareUsed},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			data, err := messagesBeforeShares().encode(test.previous)
			if err != nil {
				t.Fatal(err)
			}
			got, err := DecodeMessage(data)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.same, got); diff != "" {
				t.Error("decoded by the new build: ", diff)
			}
			if again, err := EncodeMessage(test.same); err != nil || string(again) != string(data) {
				t.Errorf("without the new fields the message differs from the previous build's (%v)", err)
			}
			if data, err = EncodeMessage(test.withNewFields); err != nil {
				t.Fatal(err)
			}
			old, err := messagesBeforeShares().decode(data)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(test.previous, old); diff != "" {
				t.Error("decoded by the previous build: ", diff)
			}
		})
	}
}
