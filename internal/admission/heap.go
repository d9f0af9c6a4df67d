package admission

import "container/heap"

// Two min-heaps order numbers by start tag: the active tenants of a queue, and the active flows of a tenant. Each
// tenant and flow stores its heap index, by which it is removed when it becomes empty. The numbers are under 256:
// passing them as any does not allocate.

// tenantHeap orders the active tenants of a queue.
type tenantHeap struct{ *fairQueue }

func (h tenantHeap) Len() int { return len(h.active) }

func (h tenantHeap) Less(i, j int) bool {
	a, b := h.subqueues[h.active[i]], h.subqueues[h.active[j]]
	return a.start < b.start || a.start == b.start && h.active[i] < h.active[j]
}

func (h tenantHeap) Swap(i, j int) {
	h.active[i], h.active[j] = h.active[j], h.active[i]
	h.subqueues[h.active[i]].heapIndex, h.subqueues[h.active[j]].heapIndex = int32(i), int32(j)
}

func (h tenantHeap) Push(x any) {
	tenant := int32(x.(uint8))
	h.subqueues[tenant].heapIndex = int32(len(h.active))
	h.active = append(h.active, tenant)
}

func (h tenantHeap) Pop() any {
	last := len(h.active) - 1
	h.subqueues[h.active[last]].heapIndex = none
	h.active = h.active[:last]
	return nil
}

func (q *fairQueue) push(tenant int32) {
	q.activeWeight += q.subqueues[tenant].weight
	heap.Push(tenantHeap{q}, uint8(tenant))
}

func (q *fairQueue) remove(sub *subqueue) {
	q.activeWeight -= sub.weight
	heap.Remove(tenantHeap{q}, int(sub.heapIndex))
	if len(q.active) == 0 {
		q.activeWeight = 0 // drop rounding errors
	}
}

// flowHeap orders the active flows of a tenant in one band.
type flowHeap struct {
	*subqueue
	band band
}

func (h *flowHeap) Len() int { return len(h.active[h.band]) }

func (h *flowHeap) Less(i, j int) bool {
	active := h.active[h.band]
	a, b := &h.flows[active[i]], &h.flows[active[j]]
	return a.start < b.start || a.start == b.start && active[i] < active[j]
}

func (h *flowHeap) Swap(i, j int) {
	active := h.active[h.band]
	active[i], active[j] = active[j], active[i]
	h.flows[active[i]].heapIndex, h.flows[active[j]].heapIndex = int32(i), int32(j)
}

func (h *flowHeap) Push(x any) {
	flow := int32(x.(uint8))
	h.flows[flow].heapIndex = int32(len(h.active[h.band]))
	h.active[h.band] = append(h.active[h.band], flow)
}

func (h *flowHeap) Pop() any {
	active := h.active[h.band]
	last := len(active) - 1
	h.flows[active[last]].heapIndex = none
	h.active[h.band] = active[:last]
	return nil
}

func (sub *subqueue) push(flow int32) { heap.Push(&sub.heaps[bandOf(flow)], uint8(flow)) }

func (sub *subqueue) remove(flow int32) {
	heap.Remove(&sub.heaps[bandOf(flow)], int(sub.flows[flow].heapIndex))
}

func (sub *subqueue) fix(flow int32) {
	heap.Fix(&sub.heaps[bandOf(flow)], int(sub.flows[flow].heapIndex))
}

func (q *fairQueue) fix(sub *subqueue) { heap.Fix(tenantHeap{q}, int(sub.heapIndex)) }
