package engine

import (
	"net/http"
	"slices"
	"strings"

	"nutmeglane.example/nutmeglane/internal/core"
	"nutmeglane.example/nutmeglane/internal/engine/engineapi"
)

// hopByHop lists the hop-by-hop header fields (RFC 9110, section 7.6.1) and
// Expect, whose handshake the entry has already completed.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect",
}

// reservedFields lists the fields that are set from the Run effect. The same
// fields of a caller are dropped.
var reservedFields = []string{
	"Host", "Content-Length",
	engineapi.HeaderRequestID, engineapi.HeaderAttempt, engineapi.HeaderKey,
	engineapi.HeaderPriority, engineapi.HeaderResumeFrom,
}

// addEndToEnd adds a caller's fields except for hop-by-hop and reserved ones.
func addEndToEnd(to http.Header, fields []core.HeaderKV) {
	from := http.Header{}
	for _, field := range fields {
		from.Add(field.Name, field.Value)
	}
	removeHopByHop(from)
	for _, name := range reservedFields {
		from.Del(name)
	}
	for name, values := range from {
		to[name] = values
	}
}

// endToEnd returns the fields of an answer except for hop-by-hop ones, sorted by
// name.
func endToEnd(header http.Header) []core.HeaderKV {
	removeHopByHop(header)
	var fields []core.HeaderKV
	for _, name := range core.SortedKeys(header) {
		for _, value := range header[name] {
			fields = append(fields, core.HeaderKV{Name: name, Value: value})
		}
	}
	return fields
}

// removeHopByHop removes the hop-by-hop fields and the fields that Connection
// lists.
func removeHopByHop(header http.Header) {
	names := slices.Clone(hopByHop)
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			names = append(names, strings.TrimSpace(name))
		}
	}
	for _, name := range names {
		header.Del(name)
	}
}
