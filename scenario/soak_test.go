package scenario

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"
)

type (
	// soakRun injects random faults while requests are sent.
	soakRun struct {
		t      *testing.T
		c      *cluster
		random *rand.Rand
	}

	// fault is one kind of fault. inject starts it and returns the function
	// that ends it.
	fault struct {
		name   string
		inject func(*soakRun) (end func() error, err error)
	}
)

var faults = []fault{
	{"placer crashes", (*soakRun).crashPlacer},
	{"gate crashes", (*soakRun).crashGate},
	{"placer freezes", (*soakRun).freezePlacer},
	{"store is down", (*soakRun).storeDown},
	{"store is slow", (*soakRun).storeSlow},
	{"store loses answers", (*soakRun).storeLosesAnswers},
	{"worker crashes", (*soakRun).crashWorker},
	{"worker pauses", (*soakRun).pauseWorker},
	{"worker fails everything", (*soakRun).failWorker},
	{"failure domain is out", (*soakRun).domainOut},
	{"limit is lowered", (*soakRun).lowerLimit},
}

// Guards against errors that occur only after several faults, in succession or
// at the same time. Set VOYAGE_SOAK to a duration such as "5m" to run it, and
// VOYAGE_SEED to repeat the faults of an earlier run.
func TestSoak(t *testing.T) {
	text := os.Getenv("VOYAGE_SOAK")
	if text == "" {
		t.Skip("VOYAGE_SOAK is not set")
	}
	length, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	seed := uint64(time.Now().UnixNano())
	if text := os.Getenv("VOYAGE_SEED"); text != "" {
		if _, err := fmt.Sscan(text, &seed); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("VOYAGE_SEED=%d", seed)
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		t.Fatal(err)
	}
	c, err := newCluster(t, dir, 4, 24, 4)
	if c != nil {
		defer c.close()
	}
	if err == nil {
		err = c.checkServing()
	}
	if err != nil {
		t.Fatal(err)
	}
	s := &soakRun{t: t, c: c, random: rand.New(rand.NewPCG(seed, 1))}
	s.run(length)
	s.check()
	if !t.Failed() {
		_ = os.RemoveAll(dir)
	} else {
		t.Logf("logs are in %s", dir)
	}
}

func (s *soakRun) run(length time.Duration) {
	requests := int(length.Seconds()) * 20
	flows := []*flow{
		newFlow(s.c, "previews", "toys", "preview", 20, time.Minute, "idempotent", "insist"),
		newFlow(s.c, "orders", "toys", "batch", 200, time.Minute),
		newFlow(s.c, "detached", "clinics", "batch", 100, time.Minute, "detached"),
	}
	for _, f := range flows {
		s.c.flows[f.name] = f
		f.group.Go(func() { f.run(requests, 20) })
	}
	for end := time.Now().Add(length); time.Now().Before(end); {
		s.injectFaults()
	}
	for _, f := range flows {
		f.group.Wait()
		s.t.Log(f.summary())
	}
}

// injectFaults injects one or two random faults and ends them after a random
// time.
func (s *soakRun) injectFaults() {
	var cleanups []func() error
	for range 1 + s.random.IntN(2) {
		f := faults[s.random.IntN(len(faults))]
		cleanup, err := f.inject(s)
		s.t.Logf("%s %s", time.Now().Format("15:04:05.000"), f.name)
		if err != nil {
			s.t.Logf("inject fault: %v", err)
			continue
		}
		cleanups = append(cleanups, cleanup)
	}
	s.sleepBetween(500*time.Millisecond, 5*time.Second)
	// The cleanups run concurrently because an operator's command only succeeds
	// after a store outage has ended.
	var group sync.WaitGroup
	for _, cleanup := range cleanups {
		group.Go(func() {
			if err := cleanup(); err != nil {
				s.t.Errorf("end fault: %v", err)
			}
		})
	}
	group.Wait()
	s.sleepBetween(500*time.Millisecond, 4*time.Second)
}

// check reports wrong answers, tasks that ran twice and broken invariants.
func (s *soakRun) check() {
	for name, f := range s.c.flows {
		for _, problem := range f.problems {
			s.t.Errorf("%s: %s", name, problem)
		}
		for code, n := range f.countCodes() {
			if code == 501 {
				s.t.Errorf("%s: %d internal faults", name, n)
			}
		}
	}
	for _, name := range []string{"orders", "detached"} {
		if err := checkRunsOnce(s.t, nil, s.c, []string{name}); err != nil {
			s.t.Error(err)
		}
	}
	audit, err := s.c.readAudit()
	if err != nil || len(audit.Concurrent) > 0 || len(audit.OverCapacity) > 0 {
		s.t.Errorf("audit: %v, in two places %v, beyond capacity %v", err, audit.Concurrent, audit.OverCapacity)
	}
	broken, err := s.c.brokenInvariants()
	if err != nil || len(broken) > 0 {
		s.t.Errorf("invariants: %v %v", err, broken)
	}
}

func (s *soakRun) sleepBetween(shortest, longest time.Duration) {
	time.Sleep(shortest + time.Duration(s.random.Int64N(int64(longest-shortest))))
}

func (s *soakRun) randomName(kind string, n int) string {
	return fmt.Sprintf("%s%d", kind, s.random.IntN(n)+1)
}

func (s *soakRun) crashPlacer() (func() error, error) { return s.crash(s.randomName("placer", 4)) }

func (s *soakRun) crashGate() (func() error, error) { return s.crash(s.randomName("gate", 4)) }

func (s *soakRun) crash(name string) (func() error, error) {
	p := s.c.processes[name]
	if err := p.signalAndWait(syscall.SIGKILL, 5*time.Second); err != nil {
		return nil, err
	}
	return p.start, nil
}

func (s *soakRun) freezePlacer() (func() error, error) {
	p := s.c.processes[s.randomName("placer", 4)]
	end := func() error {
		_ = p.signal(syscall.SIGCONT)
		return nil
	}
	return end, p.signal(syscall.SIGSTOP)
}

func (s *soakRun) storeDown() (func() error, error) {
	return s.postSwitch(s.c.storeURL+"/switch", `{"outage":true}`, `{"outage":false}`)
}

func (s *soakRun) storeSlow() (func() error, error) {
	return s.postSwitch(s.c.storeURL+"/switch", `{"slow_ms":400}`, `{"slow_ms":0}`)
}

func (s *soakRun) storeLosesAnswers() (func() error, error) {
	return s.postSwitch(s.c.storeURL+"/switch", `{"lose_answers":30}`, `{"lose_answers":0}`)
}

func (s *soakRun) randomWorker() int { return s.random.IntN(24) }

func (s *soakRun) crashWorker() (func() error, error) {
	change := fmt.Sprintf(`{"worker":"w%d","crash":true}`, s.randomWorker())
	return func() error { return nil }, s.c.post(s.c.workersURL+"/switch", change)
}

func (s *soakRun) pauseWorker() (func() error, error) {
	format := `{"worker":"w%d","pause":%t}`
	n := s.randomWorker()
	return s.postSwitch(s.c.workersURL+"/switch", fmt.Sprintf(format, n, true), fmt.Sprintf(format, n, false))
}

func (s *soakRun) failWorker() (func() error, error) {
	format := `{"worker":"w%d","fail":%t}`
	n := s.randomWorker()
	return s.postSwitch(s.c.workersURL+"/switch", fmt.Sprintf(format, n, true), fmt.Sprintf(format, n, false))
}

func (s *soakRun) domainOut() (func() error, error) {
	domain := []string{"east", "west", "south"}[s.random.IntN(3)]
	return s.runCtl([]string{"domain", "out", domain}, []string{"domain", "back", domain})
}

func (s *soakRun) lowerLimit() (func() error, error) {
	return s.runCtl([]string{"team", "set", "clinics", "--limit", "3"}, []string{"team", "set", "clinics", "--limit", "24"})
}

// runCtl runs the operator's command begin. The returned function runs end,
// which undoes it, and retries until that is recorded. During a store outage
// either command may fail.
func (s *soakRun) runCtl(begin, end []string) (func() error, error) {
	if out, err := s.c.ctl(append(begin, "--timeout", "1s")...); err != nil {
		s.t.Logf("ctl: %s", out)
	}
	return func() error {
		var (
			out string
			err error
		)
		for range 20 {
			if out, err = s.c.ctl(append(end, "--timeout", "10s")...); err == nil {
				return nil
			}
			time.Sleep(500 * time.Millisecond)
		}
		return fmt.Errorf("ctl %v: %w: %s", end, err, out)
	}, nil
}

// postSwitch posts begin to a stand-in and returns a function that posts end.
func (s *soakRun) postSwitch(url, begin, end string) (func() error, error) {
	return func() error { return s.c.post(url, end) }, s.c.post(url, begin)
}
