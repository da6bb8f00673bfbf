package soak

import (
	"bytes"
	"context"
	"fmt"
	"syscall"
	"time"

	"chervilhollow/platform/standin"
)

type (
	// fault begins a fault and returns what ends it. A planned one is no
	// reason for a caller to lose an answer.
	fault struct {
		name    string
		planned bool
		begin   func(*soak) (end func() error, err error)
	}
)

var faults = []fault{
	{"a host is stopped", true, (*soak).stopHost},
	{"a host is told to reload", true, (*soak).hup},
	{"the keys change", true, (*soak).changeKeys},
	{"a domain is evacuated", true, (*soak).evacuate},
	{"a worker drains", true, (*soak).drainWorker},
	{"a host is killed", false, (*soak).killHost},
	{"all hosts are killed", false, (*soak).killAll},
	{"a host is paused", false, (*soak).pauseHost},
	{"the store refuses a host", false, (*soak).refuseHost},
	{"the store refuses all", false, (*soak).refuseAll},
	{"the store is slow and loses answers", false, (*soak).degradeStore},
	{"the store drops its history", false, (*soak).dropHistory},
	{"a host is cut off from the store", false, (*soak).cutStore},
	{"a host is cut off from its peers", false, (*soak).cutPeers},
	{"links between hosts are slow", false, (*soak).slowPeers},
	{"connections are reset", false, (*soak).resetAll},
	{"a worker crashes", false, (*soak).crashWorker},
	{"a worker is cut off", false, (*soak).cutWorker},
	{"workers answer late or not", false, (*soak).muteWorkers},
	{"a worker fails all or stands still", false, (*soak).degradeWorker},
}

// ownerKey is the key of the record that names the owner of the cell.
const ownerKey = "cell/owner"

func nothing() error { return nil }

// hostIndex draws a host, half of the time the owner of the cell.
func (s *soak) hostIndex() int {
	i := s.intN(len(s.cluster.hosts))
	if s.intN(2) == 0 {
		return i
	}
	record, err := s.cluster.platform.Memory().Get(context.Background(), ownerKey)
	if err != nil {
		return i
	}
	for owner, h := range s.cluster.hosts {
		if bytes.Contains(record.Value(), []byte(h.peers.address())) {
			return owner
		}
	}
	return i
}

func (s *soak) host() *entryHost { return s.cluster.hosts[s.hostIndex()] }

// owned runs the fault on a host on which no other fault of a process is under
// way; otherwise it does nothing.
func (s *soak) owned(h *entryHost, begin func() (func() error, error)) (func() error, error) {
	s.mu.Lock()
	busy := s.busy[h]
	s.busy[h] = true
	s.mu.Unlock()
	if busy {
		return nothing, nil
	}
	free := func() {
		s.mu.Lock()
		delete(s.busy, h)
		s.mu.Unlock()
	}
	end, err := begin()
	if err != nil {
		free()
		return nil, err
	}
	return func() error {
		defer free()
		return end()
	}, nil
}

func (s *soak) stopHost() (func() error, error) {
	h := s.host()
	return s.owned(h, func() (func() error, error) {
		if err := h.signal(syscall.SIGTERM); err != nil {
			return nil, err
		}
		return func() error {
			if err := h.wait(stopLimit); err != nil {
				s.report("stop: %v", err)
				_ = h.kill()
			}
			return h.start()
		}, nil
	})
}

func (s *soak) hup() (func() error, error) {
	h := s.host()
	return s.owned(h, func() (func() error, error) { return nothing, h.signal(syscall.SIGHUP) })
}

func (s *soak) killHost() (func() error, error) {
	h := s.host()
	return s.owned(h, func() (func() error, error) { return h.start, h.kill() })
}

func (s *soak) killAll() (func() error, error) {
	var starts []func() error
	for _, h := range s.cluster.hosts {
		end, err := s.owned(h, func() (func() error, error) { return h.start, h.kill() })
		if err != nil {
			return nil, err
		}
		starts = append(starts, end)
	}
	return func() error {
		for _, start := range starts {
			if err := start(); err != nil {
				return err
			}
		}
		return nil
	}, nil
}

func (s *soak) pauseHost() (func() error, error) {
	h := s.host()
	return s.owned(h, func() (func() error, error) {
		return func() error { return h.signal(syscall.SIGCONT) }, h.signal(syscall.SIGSTOP)
	})
}

var refusals = []string{standin.RefuseBusy, standin.RefuseMany, standin.RefuseReset, standin.RefuseSilent}

func (s *soak) setStores(stores []*standin.Store, f standin.StoreFaults) (func() error, error) {
	for _, store := range stores {
		store.SetFaults(f)
	}
	return func() error {
		for _, store := range stores {
			store.SetFaults(standin.StoreFaults{})
		}
		return nil
	}, nil
}

func (s *soak) refuseHost() (func() error, error) {
	i := s.hostIndex()
	return s.setStores(s.cluster.stores[i:i+1], standin.StoreFaults{Refuse: refusals[s.intN(len(refusals))]})
}

func (s *soak) refuseAll() (func() error, error) {
	return s.setStores(s.cluster.stores, standin.StoreFaults{Refuse: refusals[s.intN(len(refusals))]})
}

func (s *soak) degradeStore() (func() error, error) {
	return s.setStores(s.cluster.stores, standin.StoreFaults{
		Slow: time.Duration(s.intN(200)) * time.Millisecond, Lost: 0.3 * float64(s.intN(2)), Late: 0.2 * float64(s.intN(2)),
	})
}

func (s *soak) dropHistory() (func() error, error) {
	s.cluster.platform.DropHistory()
	return nothing, nil
}

// impairLinks impairs the proxies until the fault ends.
func impairLinks(h impairment, links ...*proxy) (func() error, error) {
	for _, l := range links {
		l.set(h)
	}
	return func() error {
		for _, l := range links {
			l.set(impairment{})
		}
		return nil
	}, nil
}

// cut draws a cut: both ways, either way, or refused connections.
func (s *soak) cut() impairment {
	return []impairment{{cutForth: true, cutBack: true}, {cutForth: true}, {cutBack: true}, {refuse: true}}[s.intN(4)]
}

func (s *soak) cutStore() (func() error, error) { return impairLinks(s.cut(), s.host().toStore) }

func (s *soak) cutPeers() (func() error, error) {
	h := s.host()
	cut := s.cut()
	if cut.refuse {
		h.peers.reset()
	}
	return impairLinks(cut, h.peers)
}

func (s *soak) slowPeers() (func() error, error) {
	var links []*proxy
	for _, h := range s.cluster.hosts {
		links = append(links, h.peers)
	}
	return impairLinks(impairment{delay: time.Duration(5+s.intN(40)) * time.Millisecond}, links...)
}

func (s *soak) resetAll() (func() error, error) {
	for _, h := range s.cluster.hosts {
		for _, l := range []*proxy{h.callers, h.peers, h.toStore} {
			if s.intN(2) == 0 {
				l.reset()
			}
		}
	}
	for _, l := range s.cluster.links {
		if s.intN(2) == 0 {
			l.reset()
		}
	}
	return nothing, nil
}

// worker returns a worker that no other fault has now, or nil.
func (s *soak) worker() (int, func()) {
	i := s.intN(workerCount)
	w := s.cluster.workers[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.degraded[w] {
		return -1, func() {}
	}
	s.degraded[w] = true
	return i, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.degraded, w)
	}
}

func (s *soak) crashWorker() (func() error, error) {
	i, free := s.worker()
	if i < 0 {
		return nothing, nil
	}
	pause := time.Duration(s.intN(7000)) * time.Millisecond
	s.cluster.workers[i].Crash(pause)
	s.after(pause+time.Second, free)
	return nothing, nil
}

// drainWorker has a worker leave later than the platform's bound of 2 s.
func (s *soak) drainWorker() (func() error, error) {
	i, free := s.worker()
	if i < 0 {
		return nothing, nil
	}
	leave := time.Duration(2500+s.intN(3000)) * time.Millisecond
	s.cluster.workers[i].Drain(leave, leave+2*time.Second)
	s.after(leave+3*time.Second, free)
	return nothing, nil
}

func (s *soak) cutWorker() (func() error, error) {
	return impairLinks(s.cut(), s.cluster.links[s.intN(workerCount)])
}

func (s *soak) setWorkers(f standin.WorkerFaults, workers ...*standin.Worker) (func() error, error) {
	for _, w := range workers {
		w.SetFaults(f)
	}
	return func() error {
		for _, w := range workers {
			w.SetFaults(standin.WorkerFaults{})
		}
		return nil
	}, nil
}

func (s *soak) muteWorkers() (func() error, error) {
	return s.setWorkers(standin.WorkerFaults{Lost: 0.1, Late: 0.1 * float64(s.intN(2))}, s.cluster.workers...)
}

func (s *soak) degradeWorker() (func() error, error) {
	f := standin.WorkerFaults{Fails: true}
	if s.intN(2) == 0 {
		f = standin.WorkerFaults{Stands: true}
	}
	return s.setWorkers(f, s.cluster.workers[s.intN(workerCount)])
}

// changeKeys brings a new version that adds a key and takes away the one
// before the last, which no client uses any more.
func (s *soak) changeKeys() (func() error, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 1 + s.random.IntN(3)
	last := s.key
	s.key = fmt.Sprintf("key-%d", s.version)
	return nothing, s.cluster.platform.Configure(s.version, team(last, s.key))
}

func (s *soak) evacuate() (func() error, error) {
	domain := domains[s.intN(len(domains))]
	s.cluster.platform.Evacuate(domain, true)
	return func() error {
		s.cluster.platform.Evacuate(domain, false)
		return nil
	}, nil
}
