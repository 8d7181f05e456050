package agent

// class is the rank of a request's priority; less goes first.
type class uint8

const (
	classInteractive class = iota
	classBatch
	classCount
)

// shareUnit is the virtual cost of one request of a client account with weight 1.
const shareUnit = 1 << 20

// lane holds one client account's requests that are ready to run, by deadline.
type lane struct {
	account string
	weight  int64
	// start and finish are the virtual times of the lane's next and of its
	// last request.
	start, finish int64
	jobs          heap[*job]
	pos           int
}

// laneSet orders lanes by start-time fair queueing: the lane whose virtual
// start is earliest goes first and is charged shareUnit/weight. While others
// wait a client account gets its weight's share and no more, however many requests
// it sends.
type laneSet struct {
	lanes  map[string]*lane
	active heap[*lane]
	clock  int64
	count  int
}

// fairQueue orders the ready requests of one replica: interactive before
// batch, then by fair share among client accounts, then by earliest deadline.
type fairQueue struct {
	sets [classCount]laneSet
}

func newFairQueue() *fairQueue {
	q := &fairQueue{}
	for i := range q.sets {
		q.sets[i] = laneSet{lanes: map[string]*lane{}, active: heap[*lane]{
			less: laneBefore,
			pos:  func(l *lane) *int { return &l.pos },
		}}
	}
	return q
}

func laneBefore(a, b *lane) bool {
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

// lenBefore counts the requests of the classes up to c.
func (q *fairQueue) lenBefore(c class) int {
	n := 0
	for i := classInteractive; i <= c; i++ {
		n += q.sets[i].count
	}
	return n
}

// ahead counts the requests that would run before a new one of a client account.
func (q *fairQueue) ahead(c class, account string, weight int64) int {
	n := q.sets[c].ahead(account, weight)
	if c > classInteractive {
		n += q.lenBefore(c - 1)
	}
	return n
}

func (q *fairQueue) push(j *job) { q.sets[j.class].push(j) }

func (q *fairQueue) remove(j *job) { q.sets[j.class].remove(j) }

// pop takes out the request to run next, or returns nil.
func (q *fairQueue) pop() *job {
	for i := range q.sets {
		if q.sets[i].count > 0 {
			return q.sets[i].pop()
		}
	}
	return nil
}

func (s *laneSet) lane(j *job) *lane {
	l := s.lanes[j.start.ClientAccount]
	if l == nil {
		l = &lane{account: j.start.ClientAccount, jobs: heap[*job]{
			less: jobBefore,
			pos:  func(j *job) *int { return &j.lanePos },
		}}
		s.lanes[l.account] = l
	}
	l.weight = j.weight
	return l
}

// ahead counts the waiting requests with a virtual start up to the one that a
// new request of the client account would get: all of its own, and of each other lane
// as many as its weight earns by then.
func (s *laneSet) ahead(account string, weight int64) int {
	start, n := s.clock, 0
	if own := s.lanes[account]; own != nil {
		n = own.jobs.len()
		start = max(s.clock, own.finish) + int64(n)*shareUnit/weight
	}
	for _, l := range s.active.items {
		if l.account != account && l.start <= start {
			n += min(l.jobs.len(), int((start-l.start)*l.weight/shareUnit)+1)
		}
	}
	return n
}

func (s *laneSet) push(j *job) {
	l := s.lane(j)
	l.jobs.push(j)
	s.count++
	if l.pos == 0 {
		l.start = max(s.clock, l.finish)
		s.active.push(l)
		return
	}
	s.active.fix(l)
}

func (s *laneSet) pop() *job { return s.popFrom(s.active.top()) }

func (s *laneSet) popFrom(l *lane) *job {
	j := l.jobs.pop()
	s.clock = max(s.clock, l.start)
	l.finish = l.start + shareUnit/l.weight
	l.start = l.finish
	s.taken(l)
	return j
}

func (s *laneSet) remove(j *job) {
	l := s.lanes[j.start.ClientAccount]
	l.jobs.remove(j)
	s.taken(l)
}

// taken restores the order after a lane lost a request. Virtual times are
// forgotten once nobody waits, so that lanes don't pile up.
func (s *laneSet) taken(l *lane) {
	s.count--
	if l.jobs.len() == 0 {
		s.active.remove(l)
	} else {
		s.active.fix(l)
	}
	if s.count == 0 {
		clear(s.lanes)
		s.clock = 0
	}
}
