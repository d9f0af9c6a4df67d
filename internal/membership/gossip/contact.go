package gossip

import (
	"sync"
	"time"
)

// contacts records when other poolers responded, and which of them memberlist suspects. It has a separate lock, because
// memberlist may log a suspicion during a call that is made with Gossip.mu locked.
type contacts struct {
	mu             sync.Mutex
	lastAnswer     map[string]time.Duration // when a pooler last responded
	suspectedSince map[string]time.Duration // poolers that did not answer a probe, until they respond again
	rejected       int64                    // packets that memberlist rejected, such as those of another cluster
}

func newContacts() contacts {
	return contacts{lastAnswer: map[string]time.Duration{}, suspectedSince: map[string]time.Duration{}}
}

// recordAnswer records that a pooler responded, and ends its suspicion.
func (c *contacts) recordAnswer(name string, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastAnswer[name] = now
	delete(c.suspectedSince, name)
}

// recordSuspicion records that a pooler did not answer a probe.
func (c *contacts) recordSuspicion(name string, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, already := c.suspectedSince[name]; !already && len(c.suspectedSince) < maxAddresses {
		c.suspectedSince[name] = now
	}
}

// forget removes the records of a pooler.
func (c *contacts) forget(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.lastAnswer, name)
	delete(c.suspectedSince, name)
}

// recordRejection counts a packet that memberlist rejected.
func (c *contacts) recordRejection() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejected++
}
