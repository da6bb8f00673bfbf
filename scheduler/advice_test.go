package scheduler

import (
	"fmt"
	"testing"
	"time"

	"chervilhollow/order"
	"chervilhollow/policy"
)

// slowAdvice takes half a second for a request, as for a queue of wide gangs.
var slowAdvice = policy.NewAdvice(500*time.Millisecond, 7*time.Millisecond, 2*time.Second)

// newAdviceDriver returns a driver of a cell with the given numbers of entry
// hosts, beside the owner, and of workers.
func newAdviceDriver(t testing.TB, advice policy.Advice, hosts, workers int) *driver {
	d := newDriver(t, testEpoch)
	d.configure(advice, order.Resources{})
	for i := range hosts {
		d.feed(NewHostLinkMsg(order.MemberID(fmt.Sprintf("h%03d", i)), true))
	}
	ids := make([]order.WorkerID, 0, workers)
	for i := range workers {
		ids = append(ids, order.WorkerID(fmt.Sprintf("w%03d", i)))
	}
	infos := make([]WorkerInfo, 0, workers)
	for _, id := range ids {
		infos = append(infos, workerInfo(id, 1))
	}
	d.feed(NewWorkersMsg(infos, nil, false))
	d.answerFirstPolls(ids)
	d.commitAll()
	return d
}

// takeAdviceRequests returns all advice requests that were sent.
func (d *driver) takeAdviceRequests() []order.AdviceRequestMsg {
	var list []order.AdviceRequestMsg
	for {
		q, ok := d.takeAdviceRequest()
		if !ok {
			return list
		}
		list = append(list, q)
	}
}

// A wide gang must ask about as many workers as its members need, on several
// hosts at once. With one request of 30 workers after the other, it would
// never hold enough valid tickets at a time.
func TestAsksForWideGang(t *testing.T) {
	d := newAdviceDriver(t, slowAdvice, 20, 300)
	d.call(order.SubmitJob, smallStep(40).WithGang(true).WithPerWorker(1))
	named := make(map[order.WorkerID]bool)
	requests := d.takeAdviceRequests()
	for _, q := range requests {
		d.is.True(len(q.Workers()) <= maxAdviceWorkers) // the service refuses more
		for _, id := range q.Workers() {
			d.is.True(!named[id]) // named once
			named[id] = true
		}
	}
	d.is.True(len(requests) > 1)
	d.is.True(len(named) >= 2*40/initialGrantShare)
	d.is.True(len(named) < 300)
}

// A request about few tasks must not name more workers than they need, as each
// one makes the response later.
func TestAsksForFewTasks(t *testing.T) {
	d := newAdviceDriver(t, slowAdvice, 20, 300)
	d.call(order.SubmitJob, smallStep(2))
	requests := d.takeAdviceRequests()
	d.is.Equal(len(requests), 1)
	d.is.Equal(len(requests[0].Workers()), minAdviceWorkers)
}

// The number of workers must follow the share of them that the queue's earlier
// responses allowed.
func TestAsksByGrantedShare(t *testing.T) {
	g := &grantShare{}
	d := newAdviceDriver(t, slowAdvice, 100, 300)
	for range 20 {
		g.record(100, 90)
	}
	d.m.grantShares[testQueue] = g
	d.submit(1, smallStep(40).WithPerWorker(1))
	many := 0
	for _, q := range d.takeAdviceRequests() {
		many += len(q.Workers())
	}
	for range 40 {
		g.record(100, 30)
	}
	d.submit(2, smallStep(40).WithPerWorker(1))
	more := 0
	for _, q := range d.takeAdviceRequests() {
		more += len(q.Workers())
	}
	d.is.True(many < 150)
	d.is.True(more > 250)
}

// The requests of one step must leave hosts free for other steps, and long
// requests must leave some for the short ones of urgent queues.
func TestSharesHostsAmongSteps(t *testing.T) {
	d := newAdviceDriver(t, slowAdvice, 11, 300)
	d.submit(1, smallStep(100).WithGang(true).WithPerWorker(1))
	first := len(d.takeAdviceRequests())
	d.submit(2, smallStep(100).WithGang(true).WithPerWorker(1))
	second := len(d.takeAdviceRequests())
	d.advance(200 * time.Millisecond)
	all := first + second + len(d.takeAdviceRequests())
	d.is.True(first >= 3)
	d.is.True(second >= 1)
	d.is.True(all <= 8) // of twelve hosts, four stay free
}

// While a gang waits for room, the tickets on allowed workers must be renewed
// before they expire, and only as many as the gang needs.
func TestRenewsTicketsWhileWaiting(t *testing.T) {
	d := newAdviceDriver(t, slowAdvice, 20, 60)
	for _, w := range d.m.workers {
		w.used = w.info.capacity // no room yet
	}
	d.submit(1, smallStep(4).WithGang(true).WithPerWorker(1))
	d.commitAll()
	for _, q := range d.takeAdviceRequests() {
		d.answerAdvice(q, q.Workers()...)
	}
	d.advance(2 * time.Second)
	renewed := d.takeAdviceRequests()
	d.is.True(len(renewed) > 0)
	for _, q := range renewed {
		d.answerAdvice(q, q.Workers()...)
	}
	s := d.m.jobs[jobID(1)].steps[0]
	valid := 0
	for _, tk := range s.tickets {
		if tk.validUntil.After(d.now) {
			valid++
		}
	}
	d.is.True(valid >= 4)
}

// The requests of a host that is lost must go to other hosts at once.
func TestRepeatsAdviceOfLostHost(t *testing.T) {
	d := newAdviceDriver(t, slowAdvice, 11, 10)
	d.submit(1, smallStep(2)) // asked by the owner itself
	d.submit(2, smallStep(2))
	d.is.Equal(len(d.takeAdviceRequests()), 2)
	d.feed(NewHostLinkMsg("h000", false))
	d.advance(2 * advicePlanInterval)
	d.is.Equal(len(d.takeAdviceRequests()), 1)
}

// Many best-effort steps that wait for long advice requests must not keep the
// steps behind them from their short ones.
func TestShortAdviceBehindManyLongRequests(t *testing.T) {
	d := newAdviceDriver(t, slowAdvice, 7, 40)
	team := policy.NewTeam(testTeam, []string{testKey}, 0.001, order.Resources{})
	d.feed(NewConfigMsg(policy.NewConfig(2, []policy.Queue{
		policy.NewQueue(testQueue, testHost, "/proofs/", "press").WithPriority(1).WithObjective(2, time.Second).WithAdvice(slowAdvice),
		policy.NewQueue(urgentQueue, testHost, urgentPath, "press").WithPriority(2).WithObjective(2, time.Second).WithAdvice(testAdvice),
	}, []policy.Team{team}), nil))
	for i := range 4 * maxUnplacedSteps {
		d.submit(i, smallStep(1))
		if i%10 == 0 {
			d.commitAll()
		}
	}
	d.commitAll()
	d.submitTo(urgentPath, 1000, smallStep(1))
	last := jobID(1000)
	for range 100 {
		d.advance(20 * time.Millisecond)
		for _, c := range d.commands {
			if s, ok := c.(SendCmd); ok {
				if q, ok := s.msg.(order.AdviceRequestMsg); ok && q.Job() == last {
					return
				}
			}
		}
	}
	t.Fatal("no advice was requested for the last job")
}
