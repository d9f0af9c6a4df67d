package admission

import "container/heap"

// Two heaps of numbers, each with the least start on top: of the tenants that wait at a lane, and of the flows that wait
// at a tenant. Each member knows its place, so that one whose queue empties can be taken out of the middle. The numbers
// are under 256, so that handing them over as any costs no allocation.

type tenantHeap struct{ *lane }

func (h tenantHeap) Len() int { return len(h.active) }

func (h tenantHeap) Less(i, j int) bool {
	a, b := h.pairs[h.active[i]], h.pairs[h.active[j]]
	return a.start < b.start || a.start == b.start && h.active[i] < h.active[j]
}

func (h tenantHeap) Swap(i, j int) {
	h.active[i], h.active[j] = h.active[j], h.active[i]
	h.pairs[h.active[i]].at, h.pairs[h.active[j]].at = int32(i), int32(j)
}

func (h tenantHeap) Push(x any) {
	tenant := int32(x.(uint8))
	h.pairs[tenant].at = int32(len(h.active))
	h.active = append(h.active, tenant)
}

func (h tenantHeap) Pop() any {
	last := len(h.active) - 1
	h.pairs[h.active[last]].at = none
	h.active = h.active[:last]
	return nil
}

func (l *lane) push(tenant int32) {
	l.weight += l.pairs[tenant].weight
	heap.Push(tenantHeap{l}, uint8(tenant))
}

func (l *lane) remove(p *pair) {
	l.weight -= p.weight
	heap.Remove(tenantHeap{l}, int(p.at))
	if len(l.active) == 0 {
		l.weight = 0 // no rest of rounding
	}
}

// flowHeap is one of a tenant's two.
type flowHeap struct {
	*pair
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
	h.flows[active[i]].at, h.flows[active[j]].at = int32(i), int32(j)
}

func (h *flowHeap) Push(x any) {
	flow := int32(x.(uint8))
	h.flows[flow].at = int32(len(h.active[h.band]))
	h.active[h.band] = append(h.active[h.band], flow)
}

func (h *flowHeap) Pop() any {
	active := h.active[h.band]
	last := len(active) - 1
	h.flows[active[last]].at = none
	h.active[h.band] = active[:last]
	return nil
}

func (p *pair) push(flow int32) { heap.Push(&p.heaps[bandOf(flow)], uint8(flow)) }

func (p *pair) remove(flow int32) { heap.Remove(&p.heaps[bandOf(flow)], int(p.flows[flow].at)) }

func (p *pair) fix(flow int32) { heap.Fix(&p.heaps[bandOf(flow)], int(p.flows[flow].at)) }

func (l *lane) fix(p *pair) { heap.Fix(tenantHeap{l}, int(p.at)) }
