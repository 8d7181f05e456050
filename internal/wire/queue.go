package wire

// queue holds encoded messages in order. It is not safe for concurrent use.
type queue struct {
	items [][]byte
	bytes int
}

func (q *queue) push(item []byte) {
	q.items = append(q.items, item)
	q.bytes += len(item)
}

// takeBatch moves queued messages to buf: the first one, and more as long as the
// batch does not exceed maxBatch.
func (q *queue) takeBatch(buf []byte) []byte {
	taken := 0
	for _, item := range q.items {
		if taken > 0 && len(buf)+len(item) > maxBatch {
			break
		}
		buf = append(buf, item...)
		taken++
	}
	clear(q.items[:taken])
	q.items = q.items[taken:]
	q.bytes -= len(buf)
	if len(q.items) == 0 {
		q.items = nil
	}
	return buf
}
