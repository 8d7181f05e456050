package agent

// accountBacklog holds the waiting requests of one client account in one class;
// the first to be shed is at the top of the heap.
type accountBacklog struct {
	account string
	weight  int64
	jobs    heap[*job]
	pos     int
}

type backlogKey struct {
	class   class
	account string
}

// backlog limits the waiting requests of the whole agent by count and by total
// body size, and selects the one to shed: batch before interactive, then the
// client account with the most waiting requests relative to its weight, then
// the request with the latest deadline.
type backlog struct {
	maxCount, maxBytes int
	bytes              int
	count              int
	accounts           map[backlogKey]*accountBacklog
	shedOrder          [classCount]heap[*accountBacklog]
}

func newBacklog(maxCount, maxBytes int) *backlog {
	b := &backlog{maxCount: maxCount, maxBytes: maxBytes, accounts: map[backlogKey]*accountBacklog{}}
	for i := range b.shedOrder {
		b.shedOrder[i] = heap[*accountBacklog]{
			less: shedBefore,
			pos:  func(s *accountBacklog) *int { return &s.pos },
		}
	}
	return b
}

func shedBefore(a, b *accountBacklog) bool {
	left, right := int64(a.jobs.len())*b.weight, int64(b.jobs.len())*a.weight
	if left != right {
		return left > right
	}
	return a.account < b.account
}

func (b *backlog) full() bool { return b.count > b.maxCount || b.bytes > b.maxBytes }

func (b *backlog) add(j *job) {
	key := backlogKey{j.class, j.start.ClientAccount}
	s := b.accounts[key]
	if s == nil {
		s = &accountBacklog{account: j.start.ClientAccount, weight: j.weight, jobs: heap[*job]{
			less: func(a, b *job) bool { return jobBefore(b, a) },
			pos:  func(j *job) *int { return &j.backlogPos },
		}}
		b.accounts[key] = s
	}
	s.jobs.push(j)
	b.count++
	b.bytes += len(j.start.Body)
	b.reorder(j.class, s)
}

func (b *backlog) reorder(c class, s *accountBacklog) {
	if s.pos == 0 {
		b.shedOrder[c].push(s)
		return
	}
	b.shedOrder[c].fix(s)
}

func (b *backlog) remove(j *job) {
	if j.backlogPos == 0 {
		return
	}
	key := backlogKey{j.class, j.start.ClientAccount}
	s := b.accounts[key]
	s.jobs.remove(j)
	b.count--
	b.bytes -= len(j.start.Body)
	if s.jobs.len() > 0 {
		b.shedOrder[j.class].fix(s)
		return
	}
	b.shedOrder[j.class].remove(s)
	delete(b.accounts, key)
}

// victim returns the request to shed. The backlog must not be empty.
func (b *backlog) victim() *job {
	if b.shedOrder[classBatch].len() > 0 {
		return b.shedOrder[classBatch].top().jobs.top()
	}
	return b.shedOrder[classInteractive].top().jobs.top()
}
