package agent

// class is the rank of the priority of a request; lower ones run first.
type class uint8

const (
	classInteractive class = iota
	classBatch
	classCount
)

// requestCost is the virtual cost of one request of a client account with
// weight 1.
const requestCost = 1 << 20

// flow holds the ready requests of one client account, by deadline.
type flow struct {
	account string
	weight  int64
	// start and finish are the virtual times at which the next request of the
	// flow starts and its last one finished.
	start, finish int64
	jobs          heap[*job]
	pos           int
}

// flowSet implements start-time fair queueing: the flow with the earliest
// virtual start is served first and is charged requestCost/weight. While
// several client accounts wait, each gets capacity in proportion to its weight,
// however many requests it sends.
type flowSet struct {
	flows  map[string]*flow
	active heap[*flow]
	clock  int64
	count  int
}

// fairQueue orders the ready requests of one replica: interactive before batch,
// then by fair share among client accounts, then by earliest deadline.
type fairQueue struct {
	sets [classCount]flowSet
}

func newFairQueue() *fairQueue {
	q := &fairQueue{}
	for i := range q.sets {
		q.sets[i] = flowSet{flows: map[string]*flow{}, active: heap[*flow]{
			less: flowBefore,
			pos:  func(f *flow) *int { return &f.pos },
		}}
	}
	return q
}

func flowBefore(a, b *flow) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	return jobBefore(a.jobs.top(), b.jobs.top())
}

// jobBefore orders by deadline, then by arrival.
func jobBefore(a, b *job) bool {
	if a.deadline != b.deadline {
		return a.deadline < b.deadline
	}
	return a.order < b.order
}

func (q *fairQueue) len() int {
	return q.sets[classInteractive].count + q.sets[classBatch].count
}

// lenUpTo returns the number of requests of the classes up to and including c.
func (q *fairQueue) lenUpTo(c class) int {
	n := 0
	for i := classInteractive; i <= c; i++ {
		n += q.sets[i].count
	}
	return n
}

// ahead returns the number of requests that would run before a new one of a
// client account.
func (q *fairQueue) ahead(c class, account string, weight int64) int {
	n := q.sets[c].ahead(account, weight)
	if c > classInteractive {
		n += q.lenUpTo(c - 1)
	}
	return n
}

func (q *fairQueue) push(j *job) { q.sets[j.class].push(j) }

func (q *fairQueue) remove(j *job) { q.sets[j.class].remove(j) }

// pop removes and returns the request to run next, or returns nil.
func (q *fairQueue) pop() *job {
	for i := range q.sets {
		if q.sets[i].count > 0 {
			return q.sets[i].pop()
		}
	}
	return nil
}

func (s *flowSet) flow(j *job) *flow {
	f := s.flows[j.start.ClientAccount]
	if f == nil {
		f = &flow{account: j.start.ClientAccount, jobs: heap[*job]{
			less: jobBefore,
			pos:  func(j *job) *int { return &j.flowPos },
		}}
		s.flows[f.account] = f
	}
	f.weight = j.weight
	return f
}

// ahead returns the number of waiting requests with a virtual start not later
// than that of a new request of the client account: all of its own, and of each
// other flow as many as its weight allows until then.
func (s *flowSet) ahead(account string, weight int64) int {
	start, n := s.clock, 0
	if own := s.flows[account]; own != nil {
		n = own.jobs.len()
		start = max(s.clock, own.finish) + int64(n)*requestCost/weight
	}
	for _, f := range s.active.items {
		if f.account != account && f.start <= start {
			n += min(f.jobs.len(), int((start-f.start)*f.weight/requestCost)+1)
		}
	}
	return n
}

func (s *flowSet) push(j *job) {
	f := s.flow(j)
	f.jobs.push(j)
	s.count++
	if f.pos == 0 {
		f.start = max(s.clock, f.finish)
		s.active.push(f)
		return
	}
	s.active.fix(f)
}

func (s *flowSet) pop() *job { return s.popFrom(s.active.top()) }

func (s *flowSet) popFrom(f *flow) *job {
	j := f.jobs.pop()
	s.clock = max(s.clock, f.start)
	f.finish = f.start + requestCost/f.weight
	f.start = f.finish
	s.afterRemove(f)
	return j
}

func (s *flowSet) remove(j *job) {
	f := s.flows[j.start.ClientAccount]
	f.jobs.remove(j)
	s.afterRemove(f)
}

// afterRemove restores the heap order after a request was removed from a flow.
// Flows and virtual times are reset once no request waits, so that the number
// of flows does not grow without limit.
func (s *flowSet) afterRemove(f *flow) {
	s.count--
	if f.jobs.len() == 0 {
		s.active.remove(f)
	} else {
		s.active.fix(f)
	}
	if s.count == 0 {
		clear(s.flows)
		s.clock = 0
	}
}
