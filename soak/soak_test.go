package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chervilhollow/platform/standin"
)

// soak is one run of the test with one seed. busyHosts and busyWorkers are the
// targets of faults that must not overlap; key is the API key that clients use.
type soak struct {
	t          *testing.T
	cluster    *cluster
	clients    []*client
	background sync.WaitGroup

	mu          sync.Mutex
	random      *rand.Rand
	busyHosts   map[*entryHost]bool
	busyWorkers map[*standin.Worker]bool
	keyVersion  int
	key         string
	failures    []string
}

const (
	// defaultLength and defaultSeeds bound the run in CI, which takes under a
	// minute.
	defaultLength = 15 * time.Second
	defaultSeeds  = 2

	clientCount = 8
	clientPause = 400 * time.Millisecond

	// faultLoops is the number of goroutines that inject faults, and thereby of
	// faults at the same time.
	faultLoops = 3

	// finishTimeout is how long accepted jobs may take after all faults have
	// ended, as the platform documents.
	finishTimeout = 14 * time.Second

	// plannedSeedEvery makes one in so many seeds inject planned faults only.
	plannedSeedEvery = 5
)

var lastSubnet atomic.Int32

// Guards against violated guarantees, such as lost jobs and tasks that run
// twice, when faults of processes, connections, the store and workers follow
// each other and overlap.
//
// SOAK_SEEDS sets how many new seeds run, SOAK_LENGTH for how long, and
// SOAK_HOSTS with how many hosts. SOAK_SEED repeats one seed. Without them the
// test runs the seeds that have failed before and a few fixed ones.
func TestSoak(t *testing.T) {
	program, err := buildHost(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	hosts := defaultHosts
	if text := os.Getenv("SOAK_HOSTS"); text != "" {
		if hosts, err = strconv.Atoi(text); err != nil {
			t.Fatal(err)
		}
	}
	length := defaultLength
	if text := os.Getenv("SOAK_LENGTH"); text != "" {
		if length, err = time.ParseDuration(text); err != nil {
			t.Fatal(err)
		}
	}
	for _, seed := range chooseSeeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runSeed(t, program, seed, hosts, length)
		})
	}
}

// chooseSeeds returns the seeds of the environment, or the failed and the fixed
// ones.
func chooseSeeds(t *testing.T) []uint64 {
	if text := os.Getenv("SOAK_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return []uint64{seed}
	}
	if text := os.Getenv("SOAK_SEEDS"); text != "" {
		count, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		first := uint64(time.Now().Unix())
		var seeds []uint64
		for i := range count {
			seeds = append(seeds, first+uint64(i))
		}
		return seeds
	}
	seeds := failedSeeds(t)
	for i := range defaultSeeds {
		seeds = append(seeds, uint64(i))
	}
	return seeds
}

// failedSeeds reads the seeds that failed in an earlier run. The rest of each
// line is the cause.
func failedSeeds(t *testing.T) []uint64 {
	file, err := os.Open("testdata/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	var seeds []uint64
	for lines := bufio.NewScanner(file); lines.Scan(); {
		word, _, _ := strings.Cut(lines.Text(), " ")
		if word == "" || word == "#" {
			continue
		}
		seed, err := strconv.ParseUint(word, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seeds = append(seeds, seed)
	}
	return seeds
}

func runSeed(t *testing.T, program string, seed uint64, hosts int, length time.Duration) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d, logs in %s", seed, dir)
	subnet := fmt.Sprintf("127.%d.%d", 100+os.Getpid()%100, lastSubnet.Add(1))
	c, err := newCluster(dir, program, subnet, seed, hosts)
	defer c.close()
	if err != nil {
		t.Fatal(err)
	}
	s := &soak{
		t: t, cluster: c, random: rand.New(rand.NewPCG(seed, 1)), keyVersion: 1, key: "key-1",
		busyHosts: make(map[*entryHost]bool), busyWorkers: make(map[*standin.Worker]bool),
	}
	s.run(seed, length)
	s.check()
	if !t.Failed() {
		_ = os.RemoveAll(dir)
	}
}

func (s *soak) run(seed uint64, length time.Duration) {
	end := time.Now().Add(length)
	for i := range clientCount {
		c := newClient(s.cluster, seed*clientCount+uint64(i), s.currentKey)
		s.clients = append(s.clients, c)
		s.background.Go(func() { c.run(end, clientPause) })
	}
	planned := seed%plannedSeedEvery == 0
	var loops sync.WaitGroup
	for range faultLoops {
		loops.Go(func() {
			for time.Now().Before(end) {
				s.injectFault(planned)
			}
		})
	}
	loops.Wait()
	s.background.Wait()
}

// injectFault injects one random fault, waits for a random time and ends it.
func (s *soak) injectFault(planned bool) {
	f := faults[s.intN(len(faults))]
	for planned && !f.planned {
		f = faults[s.intN(len(faults))]
	}
	s.t.Logf("%s begins: %s", time.Now().Format("15:04:05.000"), f.name)
	if !f.planned {
		s.cluster.platform.MarkFault()
	}
	cleanup, err := f.inject(s)
	if err != nil {
		s.addFailure("%s: %v", f.name, err)
		return
	}
	s.holdFor(300*time.Millisecond, 6*time.Second, f.planned)
	if err := cleanup(); err != nil {
		s.addFailure("end %s: %v", f.name, err)
	}
	s.t.Logf("%s ends: %s", time.Now().Format("15:04:05.000"), f.name)
	if !f.planned {
		s.cluster.platform.MarkFault()
	}
	s.holdFor(100*time.Millisecond, 2*time.Second, true)
}

// holdFor waits for a random time. Unless calm, it reports an ongoing unplanned
// fault to the platform, which suspends the checks that hold only without
// faults.
func (s *soak) holdFor(shortest, longest time.Duration, calm bool) {
	end := time.Now().Add(shortest + time.Duration(s.intN(int(longest-shortest))))
	for time.Now().Before(end) {
		time.Sleep(min(50*time.Millisecond, time.Until(end)))
		if !calm {
			s.cluster.platform.MarkFault()
		}
	}
}

// check waits until all accepted jobs have ended and reports all failures that
// the clients, the platform and the counters of the hosts have recorded.
func (s *soak) check() {
	deadline := time.Now().Add(finishTimeout)
	for time.Now().Before(deadline) && len(s.cluster.platform.Unfinished()) > 0 {
		time.Sleep(100 * time.Millisecond)
	}
	if left := s.cluster.platform.Unfinished(); len(left) > 0 {
		s.addFailure("LOST: %d accepted jobs have not ended %s after the last fault: %v", len(left), finishTimeout, left)
	}
	calls, answered, jobs := 0, 0, 0
	for _, c := range s.clients {
		s.checkStates(c)
		calls, answered, jobs = calls+c.calls, answered+c.answered, jobs+len(c.jobs)
		for _, f := range c.failures {
			s.t.Error(f)
		}
	}
	s.t.Logf("%d calls, %d answered, %d jobs accepted", calls, answered, jobs)
	if jobs == 0 {
		s.t.Error("no job was accepted")
	}
	for _, f := range s.cluster.platform.Violations() {
		s.t.Error(f)
	}
	for _, h := range s.cluster.hosts {
		s.checkCounters(h)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.failures {
		s.t.Error(f)
	}
}

// stateTimeout is how long it may take after all faults have ended until an
// ended job is shown with its final state.
const stateTimeout = 3 * time.Second

// checkStates checks that every job that was not cancelled is shown as
// completed or failed.
func (s *soak) checkStates(c *client) {
	deadline := time.Now().Add(stateTimeout)
	for _, j := range c.jobs {
		if j.MayBeCancelled() {
			continue
		}
		for {
			state, err := c.checkState(j)
			if state == "completed" || state == "failed" {
				break
			}
			if time.Now().After(deadline) {
				s.addFailure("job %s has ended and is shown as %q: %v", j.ID, state, err)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// checkCounters reports the broken invariants that a host has counted.
func (s *soak) checkCounters(h *entryHost) {
	response, err := http.Get("http://" + h.adminAddress + "/metrics")
	if err != nil {
		s.addFailure("%s: %v", h.name, err)
		return
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		s.addFailure("%s: %v", h.name, err)
	}
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "invariant.broken.") {
			s.addFailure("%s: %s", h.name, line)
		}
	}
}

func (s *soak) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *soak) currentKey() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.key
}

func (s *soak) addFailure(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// runAfter runs the function after the duration. The run waits for it before it
// is checked.
func (s *soak) runAfter(d time.Duration, do func()) {
	s.background.Go(func() {
		time.Sleep(d)
		do()
	})
}
