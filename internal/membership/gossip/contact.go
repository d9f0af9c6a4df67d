package gossip

import (
	"sync"
	"time"
)

// heard is what the library tells beside its members. It has a lock of its own, as the library logs while it is being called.
type heard struct {
	mu        sync.Mutex
	answered  map[string]time.Duration // when this pooler last heard from each
	suspected map[string]time.Duration // who has not been heard since it did not answer
	refused   int64                    // what it could not read or turned away, such as from another cluster
}

func (h *heard) answer(name string, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answered[name] = now
	delete(h.suspected, name)
}

func (h *heard) suspect(name string, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, already := h.suspected[name]; !already && len(h.suspected) < rememberedMost {
		h.suspected[name] = now
	}
}

func (h *heard) forget(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.answered, name)
	delete(h.suspected, name)
}

func (h *heard) refuse() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refused++
}
