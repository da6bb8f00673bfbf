package frontend

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"chervilhollow/order"
)

// rateLimiter limits the calls of each team with a token bucket. Only teams in
// the configuration get an entry, which bounds the map.
type rateLimiter struct {
	limit rate.Limit
	burst int

	mu    sync.Mutex
	teams map[order.TeamName]*rate.Limiter
}

func newRateLimiter(perSecond float64, burst int) *rateLimiter {
	return &rateLimiter{limit: rate.Limit(perSecond), burst: burst, teams: make(map[order.TeamName]*rate.Limiter)}
}

// allow takes one token of the team. It reports false if there is none.
func (r *rateLimiter) allow(team order.TeamName, now time.Time) bool {
	r.mu.Lock()
	limiter, ok := r.teams[team]
	if !ok {
		limiter = rate.NewLimiter(r.limit, r.burst)
		r.teams[team] = limiter
	}
	r.mu.Unlock()
	return limiter.AllowN(now, 1)
}
