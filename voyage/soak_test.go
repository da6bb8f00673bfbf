package voyage

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
	// soak brings random faults about while requests flow.
	soak struct {
		t      *testing.T
		c      *cluster
		random *rand.Rand
	}

	// fault begins a fault and returns what ends it.
	fault struct {
		name  string
		begin func(*soak) (end func() error, err error)
	}
)

var faults = []fault{
	{"placer crashes", (*soak).crashPlacer},
	{"gate crashes", (*soak).crashGate},
	{"placer freezes", (*soak).freezePlacer},
	{"store is down", (*soak).storeDown},
	{"store is slow", (*soak).storeSlow},
	{"store loses answers", (*soak).storeLoses},
	{"worker crashes", (*soak).crashWorker},
	{"worker pauses", (*soak).pauseWorker},
	{"worker fails everything", (*soak).failWorker},
	{"failure domain is out", (*soak).domainOut},
	{"limit is lowered", (*soak).lowerLimit},
}

// Guards against faults that only show when several failures come one after
// another or together. Set VOYAGE_SOAK to a duration ("5m") to run it, and
// VOYAGE_SEED to repeat a run's choice of faults.
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
		err = c.probe()
	}
	if err != nil {
		t.Fatal(err)
	}
	s := &soak{t: t, c: c, random: rand.New(rand.NewPCG(seed, 1))}
	s.run(length)
	s.check()
	if !t.Failed() {
		_ = os.RemoveAll(dir)
	} else {
		t.Logf("logs are in %s", dir)
	}
}

func (s *soak) run(length time.Duration) {
	count := int(length.Seconds()) * 20
	flows := []*flow{
		newFlow(s.c, "previews", "toys", "preview", 20, time.Minute, "idempotent", "insist"),
		newFlow(s.c, "orders", "toys", "batch", 200, time.Minute),
		newFlow(s.c, "detached", "clinics", "batch", 100, time.Minute, "detached"),
	}
	for _, f := range flows {
		s.c.flows[f.name] = f
		f.group.Go(func() { f.run(count, 20) })
	}
	for end := time.Now().Add(length); time.Now().Before(end); {
		s.step()
	}
	for _, f := range flows {
		f.group.Wait()
		s.t.Log(f.summary())
	}
}

// step brings one or two faults about, keeps them for a while and ends them.
func (s *soak) step() {
	var ends []func() error
	for range 1 + s.random.IntN(2) {
		f := faults[s.random.IntN(len(faults))]
		end, err := f.begin(s)
		s.t.Logf("%s %s", time.Now().Format("15:04:05.000"), f.name)
		if err != nil {
			s.t.Logf("could not begin: %v", err)
			continue
		}
		ends = append(ends, end)
	}
	s.wait(500*time.Millisecond, 5*time.Second)
	// An operator's command waits for the end of a store outage.
	var group sync.WaitGroup
	for _, end := range ends {
		group.Go(func() {
			if err := end(); err != nil {
				s.t.Errorf("end of a fault: %v", err)
			}
		})
	}
	group.Wait()
	s.wait(500*time.Millisecond, 4*time.Second)
}

func (s *soak) check() {
	for name, f := range s.c.flows {
		for _, problem := range f.faults {
			s.t.Errorf("%s: %s", name, problem)
		}
		for code, n := range f.codes() {
			if code == 501 {
				s.t.Errorf("%s: %d internal faults", name, n)
			}
		}
	}
	for _, name := range []string{"orders", "detached"} {
		if err := runsOnce(s.t, nil, s.c, []string{name}); err != nil {
			s.t.Error(err)
		}
	}
	audit, err := s.c.audit()
	if err != nil || len(audit.Concurrent) > 0 || len(audit.AboveRoom) > 0 {
		s.t.Errorf("audit: %v, in two places %v, above room %v", err, audit.Concurrent, audit.AboveRoom)
	}
	broken, err := s.c.brokenInvariants()
	if err != nil || len(broken) > 0 {
		s.t.Errorf("invariants: %v %v", err, broken)
	}
}

func (s *soak) wait(least, most time.Duration) {
	time.Sleep(least + time.Duration(s.random.Int64N(int64(most-least))))
}

func (s *soak) pick(kind string, n int) string {
	return fmt.Sprintf("%s%d", kind, s.random.IntN(n)+1)
}

func (s *soak) crashPlacer() (func() error, error) { return s.crash(s.pick("placer", 4)) }

func (s *soak) crashGate() (func() error, error) { return s.crash(s.pick("gate", 4)) }

func (s *soak) crash(name string) (func() error, error) {
	p := s.c.processes[name]
	if err := p.end(syscall.SIGKILL, 5*time.Second); err != nil {
		return nil, err
	}
	return p.start, nil
}

func (s *soak) freezePlacer() (func() error, error) {
	p := s.c.processes[s.pick("placer", 4)]
	end := func() error {
		_ = p.signal(syscall.SIGCONT)
		return nil
	}
	return end, p.signal(syscall.SIGSTOP)
}

func (s *soak) storeDown() (func() error, error) {
	return s.toggle(s.c.store+"/switch", `{"outage":true}`, `{"outage":false}`)
}

func (s *soak) storeSlow() (func() error, error) {
	return s.toggle(s.c.store+"/switch", `{"slow_ms":400}`, `{"slow_ms":0}`)
}

func (s *soak) storeLoses() (func() error, error) {
	return s.toggle(s.c.store+"/switch", `{"lose_answers":30}`, `{"lose_answers":0}`)
}

func (s *soak) worker() int { return s.random.IntN(24) }

func (s *soak) crashWorker() (func() error, error) {
	change := fmt.Sprintf(`{"worker":"w%d","crash":true}`, s.worker())
	return func() error { return nil }, s.c.post(s.c.workers+"/switch", change)
}

func (s *soak) pauseWorker() (func() error, error) {
	format := `{"worker":"w%d","pause":%t}`
	n := s.worker()
	return s.toggle(s.c.workers+"/switch", fmt.Sprintf(format, n, true), fmt.Sprintf(format, n, false))
}

func (s *soak) failWorker() (func() error, error) {
	format := `{"worker":"w%d","fail":%t}`
	n := s.worker()
	return s.toggle(s.c.workers+"/switch", fmt.Sprintf(format, n, true), fmt.Sprintf(format, n, false))
}

func (s *soak) domainOut() (func() error, error) {
	domain := []string{"east", "west", "south"}[s.random.IntN(3)]
	return s.operate([]string{"domain", "out", domain}, []string{"domain", "back", domain})
}

func (s *soak) lowerLimit() (func() error, error) {
	return s.operate([]string{"team", "set", "clinics", "--limit", "3"}, []string{"team", "set", "clinics", "--limit", "24"})
}

// operate runs an operator's command, and later its contrary until it is
// recorded. An outage of the store may make either fail.
func (s *soak) operate(begin, end []string) (func() error, error) {
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

func (s *soak) toggle(url, on, off string) (func() error, error) {
	return func() error { return s.c.post(url, off) }, s.c.post(url, on)
}
