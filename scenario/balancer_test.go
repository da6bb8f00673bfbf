package scenario

import (
	"net/http"
	"sync"
	"time"
)

// balancer simulates the platform's load balancer: it polls the readiness of
// each gate every balancerPeriod and directs callers to the ready ones.
type balancer struct {
	cluster *cluster
	client  http.Client
	stop    chan struct{}
	done    chan struct{}

	mu         sync.Mutex
	readyGates []string
}

const balancerPeriod = 500 * time.Millisecond

func newBalancer(c *cluster) *balancer {
	b := &balancer{
		cluster: c,
		client:  http.Client{Timeout: balancerPeriod},
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
	}
	go b.run()
	return b
}

func (b *balancer) ready() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.readyGates
}

func (b *balancer) close() {
	close(b.stop)
	<-b.done
}

func (b *balancer) run() {
	defer close(b.done)
	ticker := time.NewTicker(balancerPeriod)
	defer ticker.Stop()
	for {
		b.poll()
		select {
		case <-b.stop:
			return
		case <-ticker.C:
		}
	}
}

func (b *balancer) poll() {
	var ready []string
	for i, gate := range b.cluster.gateURLs {
		response, err := b.client.Get("http://" + b.cluster.gateAdmins[i] + "/ready")
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
	b.readyGates = ready
}
