package voyage

import (
	"net/http"
	"sync"
	"time"
)

// balancer stands for the platform's balancer: it asks each gate for its
// readiness every half second and sends callers to the ready ones.
type balancer struct {
	c    *cluster
	http http.Client
	stop chan struct{}
	done chan struct{}

	mu  sync.Mutex
	now []string
}

const balancerPeriod = 500 * time.Millisecond

func newBalancer(c *cluster) *balancer {
	b := &balancer{
		c:    c,
		http: http.Client{Timeout: balancerPeriod},
		stop: make(chan struct{}),
		done: make(chan struct{}),
	}
	go b.run()
	return b
}

func (b *balancer) ready() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now
}

func (b *balancer) close() {
	close(b.stop)
	<-b.done
}

func (b *balancer) run() {
	defer close(b.done)
	ticks := time.NewTicker(balancerPeriod)
	defer ticks.Stop()
	for {
		b.look()
		select {
		case <-b.stop:
			return
		case <-ticks.C:
		}
	}
}

func (b *balancer) look() {
	var ready []string
	for i, gate := range b.c.gates {
		response, err := b.http.Get("http://" + b.c.gateAdmins[i] + "/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			ready = append(ready, gate)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.now = ready
}
