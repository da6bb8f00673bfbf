package counter

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"chervilhollow/order"
)

// rates limits the calls of each team. Only teams of the configuration get an
// entry, so the map stays small.
type rates struct {
	limit rate.Limit
	burst int

	mu    sync.Mutex
	teams map[order.TeamName]*rate.Limiter
}

func newRates(perSecond float64, burst int) *rates {
	return &rates{limit: rate.Limit(perSecond), burst: burst, teams: make(map[order.TeamName]*rate.Limiter)}
}

func (r *rates) allow(team order.TeamName, now time.Time) bool {
	r.mu.Lock()
	limiter, ok := r.teams[team]
	if !ok {
		limiter = rate.NewLimiter(r.limit, r.burst)
		r.teams[team] = limiter
	}
	r.mu.Unlock()
	return limiter.AllowN(now, 1)
}
