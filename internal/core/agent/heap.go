package agent

// heap is a binary heap whose elements store their position, so that any of
// them can be removed or moved in O(log n).
type heap[T any] struct {
	items []T
	less  func(a, b T) bool
	// pos returns a pointer to the position of an element plus one; 0 means
	// that it is not in the heap.
	pos func(T) *int
}

func (h *heap[T]) len() int { return len(h.items) }

// top returns the least element. The heap must not be empty.
func (h *heap[T]) top() T { return h.items[0] }

func (h *heap[T]) push(item T) {
	h.items = append(h.items, item)
	*h.pos(item) = len(h.items)
	h.up(len(h.items) - 1)
}

func (h *heap[T]) pop() T {
	item := h.items[0]
	h.remove(item)
	return item
}

// remove removes an element; it does nothing if the element is not in the heap.
func (h *heap[T]) remove(item T) {
	i := *h.pos(item) - 1
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.pos(item) = 0
	if i < last {
		h.fixAt(i)
	}
}

// fix restores the order after an element's key changed.
func (h *heap[T]) fix(item T) { h.fixAt(*h.pos(item) - 1) }

func (h *heap[T]) fixAt(i int) {
	h.down(i)
	h.up(i)
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *heap[T]) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.items); child++ {
			if h.less(h.items[child], h.items[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.pos(h.items[i]) = i + 1
	*h.pos(h.items[j]) = j + 1
}
