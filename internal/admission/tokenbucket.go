package admission

import "time"

// tokenBucket is a token bucket with a capacity of the tokens of one second, at least one token.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Duration
}

// refill adds the tokens since the last call, at a rate in tokens a second, and returns the tokens in the bucket.
func (b *tokenBucket) refill(rate float64, now time.Duration) float64 {
	capacity := max(rate, 1)
	b.tokens = min(capacity, b.tokens+rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	return b.tokens
}
