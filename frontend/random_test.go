package frontend_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilhollow/frontend"
	"chervilhollow/order"
)

type (
	// faultyCluster simulates processes between which the ownership of all
	// partitions moves. They lose messages, refuse requests, and treat a copy
	// that arrives after a refusal as a new submission. The directory follows
	// the owner with a delay.
	faultyCluster struct {
		handler *frontend.Handler
		stop    chan struct{}
		wg      sync.WaitGroup

		mu             sync.Mutex
		rand           *rand.Rand
		owner          int
		directoryOwner int
		epoch          order.Epoch
		processes      []*faultyProcess

		// started and results survive a change of owner, like the journal and
		// the workers.
		started map[order.RequestID]bool
		results map[order.RequestID]order.AnswerMsg
	}

	// faultyProcess is one process; requests are those it has as the owner.
	faultyProcess struct {
		id       order.MemberID
		inbox    chan inFlightMsg
		out      chan order.Msg
		requests map[order.RequestID]*faultyRequest
	}

	// inFlightMsg is a message on the way to a process.
	inFlightMsg struct {
		msg  order.Msg
		sent time.Time
	}

	// faultyRequest holds the sequences of the copies that wait for an answer.
	faultyRequest struct {
		waiters []uint64
		refused bool
	}
)

var gateSeeds = flag.Int("gate.seeds", 2, "seeds of the randomised run of the gate")

const (
	randomProcesses = 3
	randomRequests  = 150
	lossPercent     = 8
	maxLinkAge      = time.Second
)

func newFaultyCluster(seed uint64) *faultyCluster {
	c := &faultyCluster{
		stop:    make(chan struct{}),
		rand:    rand.New(rand.NewPCG(seed, 1)),
		started: make(map[order.RequestID]bool),
		results: make(map[order.RequestID]order.AnswerMsg),
	}
	for n := range randomProcesses {
		p := &faultyProcess{
			id:       order.MemberID(fmt.Sprintf("10.0.0.%d:7000/p", n)),
			inbox:    make(chan inFlightMsg, 4096),
			out:      make(chan order.Msg, 4096),
			requests: make(map[order.RequestID]*faultyRequest),
		}
		c.processes = append(c.processes, p)
	}
	return c
}

func (c *faultyCluster) run() {
	for n, p := range c.processes {
		c.wg.Go(func() { c.receive(n, p) })
		c.wg.Go(func() { c.deliver(p) })
	}
	c.wg.Go(c.moveOwnership)
}

func (c *faultyCluster) close() {
	close(c.stop)
	c.wg.Wait()
}

// chance reports true in the given percentage of calls. The caller holds the
// lock.
func (c *faultyCluster) chance(percent int) bool { return c.rand.IntN(100) < percent }

// pause waits for a random time. It reports false once the cluster is closed.
func (c *faultyCluster) pause(limit time.Duration) bool {
	c.mu.Lock()
	d := time.Duration(c.rand.Int64N(int64(limit)))
	c.mu.Unlock()
	select {
	case <-time.After(d):
		return true
	case <-c.stop:
		return false
	}
}

// moveOwnership changes the owner at random times and updates the directory
// later.
func (c *faultyCluster) moveOwnership() {
	for c.pause(150 * time.Millisecond) {
		c.mu.Lock()
		c.owner = c.rand.IntN(randomProcesses)
		c.epoch++
		// Requests that have not started are lost with the owner.
		for _, p := range c.processes {
			p.requests = make(map[order.RequestID]*faultyRequest)
		}
		c.mu.Unlock()
		if !c.pause(60 * time.Millisecond) {
			return
		}
		c.mu.Lock()
		c.directoryOwner = c.owner
		c.mu.Unlock()
	}
}

func (c *faultyCluster) Owner(order.PartitionID) (order.MemberID, order.Epoch, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[c.directoryOwner].id, c.epoch, true
}

func (c *faultyCluster) Send(to order.MemberID, m order.Msg) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.processes {
		if p.id == to && !c.chance(lossPercent) {
			p.inbox <- inFlightMsg{m, time.Now()}
		}
	}
	return nil
}

// receive processes the messages that are sent to a process.
func (c *faultyCluster) receive(n int, p *faultyProcess) {
	for {
		select {
		case m := <-p.inbox:
			if !c.pause(4 * time.Millisecond) {
				return
			}
			// Links drop messages that have waited too long.
			if time.Since(m.sent) > maxLinkAge {
				continue
			}
			c.mu.Lock()
			c.handle(n, p, m.msg.(order.SubmitMsg))
			c.mu.Unlock()
		case <-c.stop:
			return
		}
	}
}

// handle replies to one copy: a non-owner names the owner or does not reply,
// the owner accepts, refuses, or repeats the result. The caller holds the lock.
func (c *faultyCluster) handle(n int, p *faultyProcess, m order.SubmitMsg) {
	id := m.Request().ID()
	if n != c.owner {
		if c.chance(70) {
			p.out <- order.NotOwnerMsg{}.WithPartition(m.Partition()).WithRequest(id).
				WithOwner(c.processes[c.owner].id).WithEpoch(c.epoch)
		}
		return
	}
	if answer, ok := c.results[id]; ok {
		p.out <- answer.WithSequence(m.Sequence())
		return
	}
	req := p.requests[id]
	switch {
	case req != nil && !req.refused:
		req.waiters = append(req.waiters, m.Sequence())
		p.out <- withSequenceOf(accepted(m.Request()), m)
		return
	case !c.started[id] && c.chance(25):
		p.requests[id] = &faultyRequest{refused: true}
		p.out <- withSequenceOf(final("toys", id, order.QueueFull), m)
		return
	}
	p.requests[id] = &faultyRequest{waiters: []uint64{m.Sequence()}}
	p.out <- withSequenceOf(accepted(m.Request()), m)
	c.wg.Go(func() { c.finish(p, id) })
}

// finish refuses an accepted request or runs it, unless the process has lost
// the partition since.
func (c *faultyCluster) finish(p *faultyProcess, id order.RequestID) {
	if !c.pause(40 * time.Millisecond) {
		return
	}
	c.mu.Lock()
	req := p.requests[id]
	if req == nil || req.refused {
		c.mu.Unlock()
		return
	}
	refuse := !c.started[id] && c.chance(25)
	if refuse {
		req.refused = true
		c.answer(p, req, final("toys", id, order.DeadlineBeforeRun))
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
	c.results[id] = done("toys", id, "result of "+string(id))
	if req := p.requests[id]; req != nil {
		c.answer(p, req, c.results[id])
	}
}

func (c *faultyCluster) answer(p *faultyProcess, req *faultyRequest, m order.AnswerMsg) {
	for _, sequence := range req.waiters {
		p.out <- m.WithSequence(sequence)
	}
}

// deliver passes the messages of a process to the handler in order, and loses
// some.
func (c *faultyCluster) deliver(p *faultyProcess) {
	for {
		select {
		case m := <-p.out:
			if !c.pause(2 * time.Millisecond) {
				return
			}
			c.mu.Lock()
			lost := c.chance(lossPercent)
			c.mu.Unlock()
			if !lost {
				c.handler.Handle(p.id, m)
			}
		case <-c.stop:
			return
		}
	}
}

// Guards against an answer "not run" for a request that ran or can still run,
// and against the result of another request, while the owner changes and
// messages are lost.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(*gateSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			cluster := newFaultyCluster(seed)
			b := newFixtureOn(t, cluster, cluster, frontend.WithResend(30*time.Millisecond))
			cluster.handler = b.handler
			cluster.run()
			answers := submitAll(b)
			// Copies that are still in flight may start their request now.
			time.Sleep(300 * time.Millisecond)
			cluster.close()
			cluster.check(t, answers)
			t.Logf("sent again %d", b.reg.Counter("counter.sent_again"))
		})
	}
}

func submitAll(b *fixture) map[order.RequestID]answer {
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

// check compares the answers with what the processes ran, and requires enough
// results and refusals for the run to be meaningful.
func (c *faultyCluster) check(t *testing.T, answers map[order.RequestID]answer) {
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
