package limit

// waiter is a ticket in the queue.
type waiter struct {
	ticket       Ticket
	virtualStart float64
	serial       uint64
	index        int
}

// before reports whether w precedes other in the queue.
func (w *waiter) before(other *waiter) bool {
	first, otherFirst := w.ticket.Priority <= reservedPriority, other.ticket.Priority <= reservedPriority
	if first != otherFirst {
		return first
	}
	if w.virtualStart != other.virtualStart {
		return w.virtualStart < other.virtualStart
	}
	return w.serial < other.serial
}

// waitHeap implements heap.Interface.
type waitHeap []*waiter

func (h waitHeap) Len() int           { return len(h) }
func (h waitHeap) Less(i, j int) bool { return h[i].before(h[j]) }

func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waitHeap) Push(x any) {
	entry := x.(*waiter)
	entry.index = len(*h)
	*h = append(*h, entry)
}

// Pop implements heap.Interface.
func (h *waitHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
