package core

import (
	"capercove/internal/idclaim"
	"capercove/routing"
)

// ShareClaims replaces the table of claimed names by one that other processes of this pooler share. It must be called
// before the first request.
func (c *Core) ShareClaims(table *idclaim.Table) { c.claims = table }

// Claim claims the name of a request that must not run twice, before the request is submitted. It returns false if the
// name was claimed before, by a request of this process or another one that may have run or is still open: a client
// that has left may come again before that is known.
func (c *Core) Claim(request *Request) bool {
	mayRepeat := c.settings.Classes[request.Class].Effect == routing.Idempotent && !c.routesAsWrite(request)
	if mayRepeat {
		return true
	}
	if !c.claims.Claim(request.Name) {
		c.counters.Repeated++
		if c.repeatLog.allow(c.clock(), c.limits.LogInterval) {
			c.log.Warn().Str("id", request.Name).Str("front", request.Front).Int64("so_far", c.counters.Repeated).
				Msg("request: id was used before")
		}
		return false
	}
	request.claimed = true
	return true
}

// releaseClaim forgets the claim of a request that is over and certainly never ran. Its name may come again.
func (c *Core) releaseClaim(request *Request) {
	if request.claimed && request.neverRan() {
		request.claimed = false
		c.claims.Release(request.Name)
	}
}
