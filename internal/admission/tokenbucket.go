package admission

import "time"

// tokenBucket holds at most the tokens of one second.
type tokenBucket struct {
	tokens float64
	at     time.Duration
}

// refill returns the tokens that the bucket holds now, at a rate in tokens a second.
func (b *tokenBucket) refill(rate float64, now time.Duration) float64 {
	most := max(rate, 1)
	b.tokens = min(most, b.tokens+rate*(now-b.at).Seconds())
	b.at = now
	return b.tokens
}
