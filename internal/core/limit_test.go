package core

import (
	"testing"
	"time"
)

// Each request to a server with a limit costs a LimitRequest and a LimitReply,
// which have to stay smaller than the request's own header.
func TestLimitMessagesAreSmall(t *testing.T) {
	server := ServerLife{Instance: "i-4f6d9f84b0", Born: 1764745965123}
	limit := ReportedLimit{Named: true, PerSecond: 4.7, SentAgo: 20 * time.Millisecond, ReceivedAgo: 10 * time.Millisecond}
	const most = 100
	for _, m := range []Message{
		LimitRequest{Server: server, Limit: limit, RequestID: 123456, Spare: true},
		LimitRequest{
			Server: server, Limit: limit, RequestID: 123456, Spare: true,
			Account: "bapu793", Weight: 29741.25, Rank: 2, Slack: 980 * time.Millisecond,
		},
		LimitReply{Server: server, Limit: limit, RequestID: 123456, Room: 380 * time.Millisecond},
	} {
		data, err := EncodeMessage(m)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%T: %d bytes", m, len(data))
		if len(data) > most {
			t.Errorf("%T has %d bytes, want at most %d", m, len(data), most)
		}
	}
}
