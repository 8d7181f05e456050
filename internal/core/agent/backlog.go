package agent

// share is one client account's waiting requests of one class, the first to be shed
// on top.
type share struct {
	account string
	weight  int64
	jobs    heap[*job]
	pos     int
}

type shareKey struct {
	class   class
	account string
}

// backlog bounds the waiting requests of the whole agent, in count and bytes
// of their bodies, and knows which one to shed: batch before interactive, then
// of the client account with the most waiting for its weight, then the one with the
// latest deadline.
type backlog struct {
	maxCount, maxBytes int
	bytes              int
	count              int
	shares             map[shareKey]*share
	worst              [classCount]heap[*share]
}

func newBacklog(maxCount, maxBytes int) *backlog {
	b := &backlog{maxCount: maxCount, maxBytes: maxBytes, shares: map[shareKey]*share{}}
	for i := range b.worst {
		b.worst[i] = heap[*share]{
			less: shareBefore,
			pos:  func(s *share) *int { return &s.pos },
		}
	}
	return b
}

func shareBefore(a, b *share) bool {
	left, right := int64(a.jobs.len())*b.weight, int64(b.jobs.len())*a.weight
	if left != right {
		return left > right
	}
	return a.account < b.account
}

func (b *backlog) full() bool { return b.count > b.maxCount || b.bytes > b.maxBytes }

func (b *backlog) add(j *job) {
	key := shareKey{j.class, j.start.ClientAccount}
	s := b.shares[key]
	if s == nil {
		s = &share{account: j.start.ClientAccount, weight: j.weight, jobs: heap[*job]{
			less: func(a, b *job) bool { return jobBefore(b, a) },
			pos:  func(j *job) *int { return &j.sharePos },
		}}
		b.shares[key] = s
	}
	s.jobs.push(j)
	b.count++
	b.bytes += len(j.start.Body)
	b.place(j.class, s)
}

func (b *backlog) place(c class, s *share) {
	if s.pos == 0 {
		b.worst[c].push(s)
		return
	}
	b.worst[c].fix(s)
}

func (b *backlog) remove(j *job) {
	if j.sharePos == 0 {
		return
	}
	key := shareKey{j.class, j.start.ClientAccount}
	s := b.shares[key]
	s.jobs.remove(j)
	b.count--
	b.bytes -= len(j.start.Body)
	if s.jobs.len() > 0 {
		b.worst[j.class].fix(s)
		return
	}
	b.worst[j.class].remove(s)
	delete(b.shares, key)
}

// victim returns the request to shed from a backlog that is not empty.
func (b *backlog) victim() *job {
	if b.worst[classBatch].len() > 0 {
		return b.worst[classBatch].top().jobs.top()
	}
	return b.worst[classInteractive].top().jobs.top()
}
