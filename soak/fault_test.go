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
	// fault is one kind of fault. inject starts it and returns the function
	// that ends it. During a planned fault no caller may lose an answer.
	fault struct {
		name    string
		planned bool
		inject  func(*soak) (end func() error, err error)
	}
)

var faults = []fault{
	{"a host is stopped", true, (*soak).stopHost},
	{"a host receives SIGHUP", true, (*soak).hangUpHost},
	{"the keys change", true, (*soak).rotateKeys},
	{"a domain is evacuated", true, (*soak).evacuate},
	{"a worker drains", true, (*soak).drainWorker},
	{"a host is killed", false, (*soak).killHost},
	{"all hosts are killed", false, (*soak).killAllHosts},
	{"a host is paused", false, (*soak).pauseHost},
	{"the store refuses a host", false, (*soak).refuseHost},
	{"the store refuses all hosts", false, (*soak).refuseAllHosts},
	{"the store is slow and loses answers", false, (*soak).degradeStore},
	{"the store drops its history", false, (*soak).dropHistory},
	{"a host is cut off from the store", false, (*soak).cutStore},
	{"a host is cut off from its peers", false, (*soak).cutPeers},
	{"links between hosts are slow", false, (*soak).slowPeers},
	{"connections are reset", false, (*soak).resetConnections},
	{"a worker crashes", false, (*soak).crashWorker},
	{"a worker is cut off", false, (*soak).cutWorker},
	{"a worker is cut off and refuses connections", false, (*soak).refuseAtWorker},
	{"workers answer late or not at all", false, (*soak).loseWorkerAnswers},
	{"a worker fails all tasks or makes no progress", false, (*soak).degradeWorker},
}

// ownerKey is the store key of the record that names the owner of the cell.
const ownerKey = "cell/owner"

func noCleanup() error { return nil }

// pickHostIndex returns the index of a random host. With a probability of one
// half it returns that of the owner of the cell, if there is one.
func (s *soak) pickHostIndex() int {
	i := s.intN(len(s.cluster.hosts))
	if s.intN(2) == 0 {
		return i
	}
	record, err := s.cluster.platform.Memory().Get(context.Background(), ownerKey)
	if err != nil {
		return i
	}
	for owner, h := range s.cluster.hosts {
		if bytes.Contains(record.Value(), []byte(h.peerProxy.address())) {
			return owner
		}
	}
	return i
}

func (s *soak) pickHost() *entryHost { return s.cluster.hosts[s.pickHostIndex()] }

// exclusive injects a fault into the process of a host, unless another one is
// active on that host; then it does nothing.
func (s *soak) exclusive(h *entryHost, inject func() (func() error, error)) (func() error, error) {
	s.mu.Lock()
	busy := s.busyHosts[h]
	s.busyHosts[h] = true
	s.mu.Unlock()
	if busy {
		return noCleanup, nil
	}
	release := func() {
		s.mu.Lock()
		delete(s.busyHosts, h)
		s.mu.Unlock()
	}
	end, err := inject()
	if err != nil {
		release()
		return nil, err
	}
	return func() error {
		defer release()
		return end()
	}, nil
}

func (s *soak) stopHost() (func() error, error) {
	h := s.pickHost()
	return s.exclusive(h, func() (func() error, error) {
		if err := h.signal(syscall.SIGTERM); err != nil {
			return nil, err
		}
		return func() error {
			if err := h.awaitExit(stopTimeout); err != nil {
				s.addFailure("stop host: %v", err)
				_ = h.kill()
			}
			return h.start()
		}, nil
	})
}

// hangUpHost sends SIGHUP to a host, which logs it and keeps its settings.
func (s *soak) hangUpHost() (func() error, error) {
	h := s.pickHost()
	return s.exclusive(h, func() (func() error, error) { return noCleanup, h.signal(syscall.SIGHUP) })
}

func (s *soak) killHost() (func() error, error) {
	h := s.pickHost()
	return s.exclusive(h, func() (func() error, error) { return h.start, h.kill() })
}

func (s *soak) killAllHosts() (func() error, error) {
	var starts []func() error
	for _, h := range s.cluster.hosts {
		end, err := s.exclusive(h, func() (func() error, error) { return h.start, h.kill() })
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
	h := s.pickHost()
	return s.exclusive(h, func() (func() error, error) {
		return func() error { return h.signal(syscall.SIGCONT) }, h.signal(syscall.SIGSTOP)
	})
}

var refusals = []string{standin.RefuseBusy, standin.RefuseTooMany, standin.RefuseReset, standin.RefuseSilent}

// faultStores injects faults into the stores of some hosts until the fault
// ends.
func (s *soak) faultStores(stores []*standin.Store, f standin.StoreFaults) (func() error, error) {
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
	i := s.pickHostIndex()
	return s.faultStores(s.cluster.stores[i:i+1], standin.StoreFaults{Refuse: refusals[s.intN(len(refusals))]})
}

func (s *soak) refuseAllHosts() (func() error, error) {
	return s.faultStores(s.cluster.stores, standin.StoreFaults{Refuse: refusals[s.intN(len(refusals))]})
}

func (s *soak) degradeStore() (func() error, error) {
	return s.faultStores(s.cluster.stores, standin.StoreFaults{
		Delay: time.Duration(s.intN(200)) * time.Millisecond, LostShare: 0.3 * float64(s.intN(2)), LateShare: 0.2 * float64(s.intN(2)),
	})
}

func (s *soak) dropHistory() (func() error, error) {
	s.cluster.platform.CompactHistory()
	return noCleanup, nil
}

// impair sets the impairment of the proxies until the fault ends.
func impair(i impairment, proxies ...*proxy) (func() error, error) {
	for _, p := range proxies {
		p.setImpairment(i)
	}
	return func() error {
		for _, p := range proxies {
			p.setImpairment(impairment{})
		}
		return nil
	}, nil
}

// pickCut returns a random interruption: of both directions, of one direction,
// or refused connections.
func (s *soak) pickCut() impairment {
	return []impairment{{cutToServer: true, cutToClient: true}, {cutToServer: true}, {cutToClient: true}, {refuse: true}}[s.intN(4)]
}

func (s *soak) cutStore() (func() error, error) { return impair(s.pickCut(), s.pickHost().storeProxy) }

func (s *soak) cutPeers() (func() error, error) {
	h := s.pickHost()
	cut := s.pickCut()
	if cut.refuse {
		h.peerProxy.reset()
	}
	return impair(cut, h.peerProxy)
}

func (s *soak) slowPeers() (func() error, error) {
	var proxies []*proxy
	for _, h := range s.cluster.hosts {
		proxies = append(proxies, h.peerProxy)
	}
	return impair(impairment{delay: time.Duration(5+s.intN(40)) * time.Millisecond}, proxies...)
}

func (s *soak) resetConnections() (func() error, error) {
	for _, h := range s.cluster.hosts {
		for _, p := range []*proxy{h.callerProxy, h.peerProxy, h.storeProxy} {
			if s.intN(2) == 0 {
				p.reset()
			}
		}
	}
	for _, p := range s.cluster.workerProxies {
		if s.intN(2) == 0 {
			p.reset()
		}
	}
	return noCleanup, nil
}

// acquireWorker reserves a random worker for a fault. It returns the index of
// the worker and a function that releases it, or -1 if the worker is already
// reserved.
func (s *soak) acquireWorker() (int, func()) {
	i := s.intN(workerCount)
	w := s.cluster.workers[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busyWorkers[w] {
		return -1, func() {}
	}
	s.busyWorkers[w] = true
	return i, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.busyWorkers, w)
	}
}

func (s *soak) crashWorker() (func() error, error) {
	i, release := s.acquireWorker()
	if i < 0 {
		return noCleanup, nil
	}
	pause := time.Duration(s.intN(7000)) * time.Millisecond
	s.cluster.workers[i].Crash(pause)
	s.runAfter(pause+time.Second, release)
	return noCleanup, nil
}

// drainWorker makes a worker announce that it leaves, 2.5 s to 5.5 s ahead. The
// platform guarantees at least 2 s.
func (s *soak) drainWorker() (func() error, error) {
	i, release := s.acquireWorker()
	if i < 0 {
		return noCleanup, nil
	}
	leave := time.Duration(2500+s.intN(3000)) * time.Millisecond
	s.cluster.workers[i].Drain(leave, leave+2*time.Second)
	s.runAfter(leave+3*time.Second, release)
	return noCleanup, nil
}

func (s *soak) cutWorker() (func() error, error) {
	return impair(s.pickCut(), s.cluster.workerProxies[s.intN(workerCount)])
}

// refuseAtWorker cuts a worker off from the store and from all hosts for longer
// than its entry lasts, while connections to it are refused. Some cuts end before
// its lease.
func (s *soak) refuseAtWorker() (func() error, error) {
	i, release := s.acquireWorker()
	if i < 0 {
		return noCleanup, nil
	}
	length := time.Duration(4600+s.intN(4000)) * time.Millisecond
	s.cluster.workers[i].CutOff(length)
	s.cluster.workerProxies[i].closeListener()
	s.runAfter(length, func() {
		if err := s.cluster.workerProxies[i].reopenListener(); err != nil {
			s.addFailure("reopen listener: %v", err)
		}
		release()
	})
	return noCleanup, nil
}

// faultWorkers injects faults into workers until the fault ends.
func (s *soak) faultWorkers(f standin.WorkerFaults, workers ...*standin.Worker) (func() error, error) {
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

func (s *soak) loseWorkerAnswers() (func() error, error) {
	return s.faultWorkers(standin.WorkerFaults{LostShare: 0.1, LateShare: 0.1 * float64(s.intN(2))}, s.cluster.workers...)
}

func (s *soak) degradeWorker() (func() error, error) {
	f := standin.WorkerFaults{FailRuns: true}
	if s.intN(2) == 0 {
		f = standin.WorkerFaults{HangRuns: true}
	}
	return s.faultWorkers(f, s.cluster.workers[s.intN(workerCount)])
}

// rotateKeys writes a new version of the configuration that adds a key and
// removes the one before the last, which no client uses any more.
func (s *soak) rotateKeys() (func() error, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keyVersion += 1 + s.random.IntN(3)
	last := s.key
	s.key = fmt.Sprintf("key-%d", s.keyVersion)
	return noCleanup, s.cluster.platform.Configure(s.keyVersion, team(last, s.key))
}

func (s *soak) evacuate() (func() error, error) {
	domain := domains[s.intN(len(domains))]
	s.cluster.platform.Evacuate(domain, true)
	return func() error {
		s.cluster.platform.Evacuate(domain, false)
		return nil
	}, nil
}
