package counter_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilhollow/counter"
	"chervilhollow/order"
)

type (
	// faultyCell stands for processes that move a partition between them,
	// lose messages, refuse, and take a copy that arrives after a refusal for
	// a new submission.
	faultyCell struct {
		gate *counter.Counter
		stop chan struct{}
		wg   sync.WaitGroup

		mu    sync.Mutex
		rand  *rand.Rand
		owner int
		known int
		epoch order.Epoch
		hosts []*faultyHost

		// started outlives the owners, as the journal and the workers do.
		started map[order.RequestID]bool
		outcome map[order.RequestID]order.AnswerMsg
	}

	faultyHost struct {
		id    order.MemberID
		inbox chan transit
		out   chan order.Msg
		jobs  map[order.RequestID]*faultyJob
	}

	transit struct {
		msg  order.Msg
		sent time.Time
	}

	faultyJob struct {
		waiters []uint64
		refused bool
	}
)

var gateSeeds = flag.Int("gate.seeds", 2, "seeds of the randomised run of the gate")

const (
	randomHosts    = 3
	randomRequests = 150
	lossPercent    = 8
	linkAge        = time.Second
)

func newFaultyCell(seed uint64) *faultyCell {
	c := &faultyCell{
		stop:    make(chan struct{}),
		rand:    rand.New(rand.NewPCG(seed, 1)),
		started: make(map[order.RequestID]bool),
		outcome: make(map[order.RequestID]order.AnswerMsg),
	}
	for n := range randomHosts {
		h := &faultyHost{
			id:    order.MemberID(fmt.Sprintf("10.0.0.%d:7000/p", n)),
			inbox: make(chan transit, 4096),
			out:   make(chan order.Msg, 4096),
			jobs:  make(map[order.RequestID]*faultyJob),
		}
		c.hosts = append(c.hosts, h)
	}
	return c
}

func (c *faultyCell) run() {
	for n, h := range c.hosts {
		c.wg.Go(func() { c.work(n, h) })
		c.wg.Go(func() { c.deliver(h) })
	}
	c.wg.Go(c.move)
}

func (c *faultyCell) close() {
	close(c.stop)
	c.wg.Wait()
}

// chance reports true in the given percentage of calls; the caller holds the
// lock.
func (c *faultyCell) chance(percent int) bool { return c.rand.IntN(100) < percent }

func (c *faultyCell) pause(most time.Duration) bool {
	c.mu.Lock()
	d := time.Duration(c.rand.Int64N(int64(most)))
	c.mu.Unlock()
	select {
	case <-time.After(d):
		return true
	case <-c.stop:
		return false
	}
}

// move changes the owner, and lets the directory follow late.
func (c *faultyCell) move() {
	for c.pause(150 * time.Millisecond) {
		c.mu.Lock()
		c.owner = c.rand.IntN(randomHosts)
		c.epoch++
		// What had not started is lost with the owner.
		for _, h := range c.hosts {
			h.jobs = make(map[order.RequestID]*faultyJob)
		}
		c.mu.Unlock()
		if !c.pause(60 * time.Millisecond) {
			return
		}
		c.mu.Lock()
		c.known = c.owner
		c.mu.Unlock()
	}
}

func (c *faultyCell) Owner(order.PartitionID) (order.MemberID, order.Epoch, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts[c.known].id, c.epoch, true
}

func (c *faultyCell) Send(to order.MemberID, m order.Msg) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		if h.id == to && !c.chance(lossPercent) {
			h.inbox <- transit{m, time.Now()}
		}
	}
	return nil
}

func (c *faultyCell) work(n int, h *faultyHost) {
	for {
		select {
		case m := <-h.inbox:
			if !c.pause(4 * time.Millisecond) {
				return
			}
			// Links drop messages that wait for long.
			if time.Since(m.sent) > linkAge {
				continue
			}
			c.mu.Lock()
			c.take(n, h, m.msg.(order.SubmitMsg))
			c.mu.Unlock()
		case <-c.stop:
			return
		}
	}
}

func (c *faultyCell) take(n int, h *faultyHost, m order.SubmitMsg) {
	id := m.Request().ID()
	if n != c.owner {
		if c.chance(70) {
			h.out <- order.NotOwnerMsg{}.WithPartition(m.Partition()).WithRequest(id).
				WithOwner(c.hosts[c.owner].id).WithEpoch(c.epoch)
		}
		return
	}
	if answer, ok := c.outcome[id]; ok {
		h.out <- answer.WithSequence(m.Sequence())
		return
	}
	j := h.jobs[id]
	switch {
	case j != nil && !j.refused:
		j.waiters = append(j.waiters, m.Sequence())
		h.out <- stamped(accepted(m.Request()), m)
		return
	case !c.started[id] && c.chance(25):
		h.jobs[id] = &faultyJob{refused: true}
		h.out <- stamped(final("toys", id, order.QueueFull), m)
		return
	}
	h.jobs[id] = &faultyJob{waiters: []uint64{m.Sequence()}}
	h.out <- stamped(accepted(m.Request()), m)
	c.wg.Go(func() { c.finish(h, id) })
}

// finish refuses the request late or runs it, if the process still owns it.
func (c *faultyCell) finish(h *faultyHost, id order.RequestID) {
	if !c.pause(40 * time.Millisecond) {
		return
	}
	c.mu.Lock()
	j := h.jobs[id]
	if j == nil || j.refused {
		c.mu.Unlock()
		return
	}
	refuse := !c.started[id] && c.chance(25)
	if refuse {
		j.refused = true
		c.answer(h, j, final("toys", id, order.DeadlineBeforeRun))
		c.mu.Unlock()
		return
	}
	c.started[id] = true
	c.mu.Unlock()
	if !c.pause(40 * time.Millisecond) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcome[id] = done("toys", id, "result of "+string(id))
	if j := h.jobs[id]; j != nil {
		c.answer(h, j, c.outcome[id])
	}
}

func (c *faultyCell) answer(h *faultyHost, j *faultyJob, m order.AnswerMsg) {
	for _, sequence := range j.waiters {
		h.out <- m.WithSequence(sequence)
	}
}

// deliver brings the messages of a process to the gate in their order.
func (c *faultyCell) deliver(h *faultyHost) {
	for {
		select {
		case m := <-h.out:
			if !c.pause(2 * time.Millisecond) {
				return
			}
			c.mu.Lock()
			lost := c.chance(lossPercent)
			c.mu.Unlock()
			if !lost {
				c.gate.Handle(h.id, m)
			}
		case <-c.stop:
			return
		}
	}
}

// Guards against "not run" for a request that ran or still can, and against
// results of other requests, while the owner moves and messages are lost.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(*gateSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			world := newFaultyCell(seed)
			b := newBenchOn(t, world, world, counter.WithResend(30*time.Millisecond))
			world.gate = b.gate
			world.run()
			answers := submitAll(b)
			// Copies that are still on the way may start late.
			time.Sleep(300 * time.Millisecond)
			world.close()
			world.check(t, answers)
			t.Logf("sent again %d", b.reg.Counter("counter.sent_again"))
		})
	}
}

func submitAll(b *bench) map[order.RequestID]answer {
	answers := make(map[order.RequestID]answer)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n := range randomRequests {
		id := order.RequestID(fmt.Sprintf("q%d", n))
		wg.Go(func() {
			time.Sleep(time.Duration(n) * 5 * time.Millisecond)
			a := b.submit(fmt.Sprintf(`{"id":%q,"kind":"batch","cores":1,"memory_mb":1,"deadline_ms":1500}`, id))
			mu.Lock()
			defer mu.Unlock()
			answers[id] = a
		})
	}
	wg.Wait()
	return answers
}

func (c *faultyCell) check(t *testing.T, answers map[order.RequestID]answer) {
	is := is.New(t)
	codes := make(map[int]int)
	for id, a := range answers {
		codes[a.Code]++
		if a.Run == "no" && c.started[id] {
			t.Errorf("request %s was answered %s but ran", id, a.Name)
		}
		if a.Code == 0 && string(a.Result) != "result of "+string(id) {
			t.Errorf("request %s got %q", id, a.Result)
		}
	}
	t.Logf("answers by code %v", codes)
	is.True(codes[0] > randomRequests/4)
	is.True(codes[int(order.QueueFull)] > 0)
}
