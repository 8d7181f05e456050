package fairshare

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"nutmeglane.example/nutmeglane/internal/core"
)

// Guards against a router whose wrong weight, rank or slack takes the permits of others: the
// default must apply, and the field must be reported so that it is counted.
func TestMalformedFieldsGetDefaults(t *testing.T) {
	for _, test := range []struct {
		name      string
		message   core.LimitRequest
		want      Request
		malformed []Field
	}{
		{"previous build", core.LimitRequest{}, Request{Weight: 1}, nil},
		{"all fields", core.LimitRequest{Account: "a", Weight: 2.5, Rank: 3, Slack: time.Second}, Request{"a", 2.5, 3, time.Second}, nil},
		{"bounds", core.LimitRequest{Weight: 1e9, Rank: 1000, Slack: 24 * time.Hour}, Request{"", 1e9, 1000, 24 * time.Hour}, nil},
		{"negative", core.LimitRequest{Account: "a", Weight: -1, Rank: -1, Slack: -1}, Request{Account: "a", Weight: 1}, []Field{FieldWeight, FieldRank, FieldSlack}},
		{"not a number", core.LimitRequest{Weight: math.NaN()}, Request{Weight: 1}, []Field{FieldWeight}},
		{"too large", core.LimitRequest{Weight: 1.1e9, Rank: 1001, Slack: 25 * time.Hour}, Request{Weight: 1}, []Field{FieldWeight, FieldRank, FieldSlack}},
		{"infinite", core.LimitRequest{Weight: math.Inf(1)}, Request{Weight: 1}, []Field{FieldWeight}},
		{"long name", core.LimitRequest{Account: strings.Repeat("a", 257), Weight: 2}, Request{Weight: 2}, []Field{FieldAccount}},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, malformed := FromMessage(test.message)
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(test.malformed, malformed); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// FuzzFromMessage checks that no encoded message leads to a request that is out of bounds, or
// to a decision that is not finite.
func FuzzFromMessage(f *testing.F) {
	for _, message := range []core.LimitRequest{
		{},
		{Server: core.ServerLife{Instance: "i", Born: 1}, RequestID: 7, Account: "a", Weight: 2.5, Rank: 3, Slack: time.Second},
		{Account: "a", Weight: math.NaN(), Rank: -1, Slack: -time.Second},
		{Account: strings.Repeat("a", 257), Weight: math.Inf(-1), Rank: math.MaxInt, Slack: math.MaxInt64},
		{Account: "caf\xe9", Weight: 5e-324},
	} {
		data, err := core.EncodeMessage(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := core.DecodeMessage(data)
		if err != nil {
			return
		}
		message, ok := decoded.(core.LimitRequest)
		if !ok {
			return
		}
		request, malformed := FromMessage(message)
		if len(request.Account) > maxNameBytes || !(request.Weight > 0 && request.Weight <= maxWeight) ||
			request.Rank < 0 || request.Rank > maxRank || request.Slack < 0 || request.Slack > maxSlack {
			t.Errorf("out of bounds: %+v", request)
		}
		if len(malformed) == 0 && (request.Rank != message.Rank || request.Slack != message.Slack || request.Account != message.Account) {
			t.Errorf("%+v became %+v, and nothing was reported", message, request)
		}
		checkDecision(t, request)
	})
}

// checkDecision checks the decision on a request that is over its share beside another account.
func checkDecision(t *testing.T, request Request) {
	s, bucket := New(), Bucket{Capacity: 25, PerSecond: 24}
	other := Request{Account: request.Account + "x", Weight: 1, Rank: request.Rank}
	for range 60 {
		s.Refused(start, other, true)
		s.Decide(start, request, bucket)
		s.Granted(start, request)
		s.Decide(start, other, bucket)
	}
	got := s.Decide(start, request, bucket)
	if got.Room < 0 || got.Room > maxPace || !(got.Reserve >= 0 && got.Reserve < bucket.Capacity) {
		t.Errorf("%+v leads to %+v", request, got)
	}
	for _, state := range s.Dump(start, bucket) {
		if !(state.Share >= 0 && state.Share <= state.Asked) {
			t.Errorf("dump %+v", state)
		}
	}
}
