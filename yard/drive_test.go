package yard

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilhollow/depot"
	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/tariff"
)

// drive runs a Machine by hand: tests feed it with inputs and look at the
// commands that it returns.
type drive struct {
	t        testing.TB
	is       *is.I
	m        *Machine
	now      time.Time
	version  depot.Version
	commands []Command
}

const (
	testQueue  = "proofs"
	testHost   = "shop.example"
	testKey    = "key-1"
	testTeam   = "engravers"
	testJob    = "5c0e7a21d94b36f8"
	testMember = order.MemberID("10.0.0.1:7000/a")
	testEpoch  = order.Epoch(1)
)

var testStart = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func newDrive(t testing.TB, epoch order.Epoch) *drive {
	registry := gauge.New(zerolog.Nop())
	registry.SetStrict(true)
	d := &drive{t: t, is: is.New(t), now: testStart, version: 10}
	record := depot.NewEntry("cell/owner", nil, 1)
	d.m = New(testMember, epoch, record, NewLimits(10*time.Second, time.Minute).WithWrites(400), d.now, registry, zerolog.Nop())
	return d
}

func (d *drive) configure(advice tariff.Advice, limit order.Resources) {
	q := tariff.NewQueue(testQueue, testHost, "/proofs/", "press").WithAttempts(3).
		WithObjective(2, time.Second).WithAdvice(advice)
	team := tariff.NewTeam(testTeam, []string{testKey}, 1, limit)
	d.step(NewConfigMsg(tariff.NewConfig(1, []tariff.Queue{q}, []tariff.Team{team}), nil))
}

// step feeds an input, one round of placement after the last one, and keeps
// the commands that follow.
func (d *drive) step(in Msg) {
	d.now = d.now.Add(placeInterval + 100*placeStep)
	d.m.Step(d.now, in)
	d.settle()
}

func (d *drive) settle() { d.commands = append(d.commands, d.m.Settle(d.now)...) }

func (d *drive) wait(length time.Duration) {
	for over := d.now.Add(length); d.now.Before(over); {
		d.now = d.now.Add(20 * time.Millisecond)
		d.settle()
	}
}

func workerInfo(id order.WorkerID, life int64) WorkerInfo {
	return NewWorkerInfo(id, "10.0.1.1:80", "press", "quay", order.NewResources(8000, 1<<30, 0)).
		WithLabels([]string{"a", "r1-1"}).WithLife(life, false)
}

// list makes workers known and answers the first question to each.
func (d *drive) list(ids ...order.WorkerID) {
	for _, id := range ids {
		d.step(NewWorkersMsg([]WorkerInfo{workerInfo(id, 1)}, nil, false))
	}
	d.commit()
	for _, id := range ids {
		d.held(id, nil, nil)
	}
}

// held answers the open HoldOrder of a worker.
func (d *drive) held(id order.WorkerID, running []RunningTask, ended []EndedTask) {
	d.t.Helper()
	for i, c := range d.commands {
		if h, ok := c.(HoldCmd); ok && h.order.to.worker == id {
			d.drop(i)
			d.step(HeldMsg{order: h.order, sent: d.now, report: NewReport(1000+d.now.Sub(testStart).Milliseconds(), 1, running, ended)})
			return
		}
	}
	d.t.Fatalf("no hold order for %s", id)
}

// commit stores all open batches.
func (d *drive) commit() {
	d.wait(2 * flushInterval)
	for {
		c, ok := d.takeCommit()
		if !ok {
			return
		}
		d.version++
		d.step(CommittedMsg{flight: c.flight, version: d.version})
		d.wait(2 * flushInterval)
	}
}

func (d *drive) drop(i int) { d.commands = append(d.commands[:i:i], d.commands[i+1:]...) }

func (d *drive) takeStart() (StartCmd, bool) {
	for i, c := range d.commands {
		if found, ok := c.(StartCmd); ok {
			d.drop(i)
			return found, true
		}
	}
	return StartCmd{}, false
}

func (d *drive) takeStop() (StopCmd, bool) {
	for i, c := range d.commands {
		if found, ok := c.(StopCmd); ok {
			d.drop(i)
			return found, true
		}
	}
	return StopCmd{}, false
}

func (d *drive) takeHold() (HoldCmd, bool) {
	for i, c := range d.commands {
		if found, ok := c.(HoldCmd); ok {
			d.drop(i)
			return found, true
		}
	}
	return HoldCmd{}, false
}

func (d *drive) takeCommit() (CommitCmd, bool) {
	for i, c := range d.commands {
		if found, ok := c.(CommitCmd); ok {
			d.drop(i)
			return found, true
		}
	}
	return CommitCmd{}, false
}

// submit sends a job with an ID made from the number.
func (d *drive) submit(number int, steps ...order.JobStep) {
	d.step(NewCallMsg("client", order.JobCallMsg{}.WithCall(uint64(100+number)).WithVerb(order.SubmitJob).WithHost(testHost).
		WithPath("/proofs/"+string(jobID(number))).WithKey(testKey).WithSpec(order.JobSpec{}.WithSteps(steps))))
}

// changeMany stores jobs and then notes a change of each.
func (d *drive) changeMany(count int) {
	for i := range count {
		d.submit(i, smallStep(2))
		if i%10 == 0 {
			d.commit()
		}
	}
	d.commit()
	for _, j := range d.m.active {
		d.m.touch(j)
	}
}

func jobID(number int) order.JobID { return order.JobID(fmt.Sprintf("%016x", number+1)) }

func (d *drive) call(verb order.JobVerb, steps ...order.JobStep) {
	d.step(NewCallMsg("client", order.JobCallMsg{}.WithCall(7).WithVerb(verb).WithHost(testHost).
		WithPath("/proofs/"+testJob).WithKey(testKey).WithSpec(order.JobSpec{}.WithPayload("p").WithSteps(steps))))
}

// reply returns the next reply to a client.
func (d *drive) reply() (order.JobReplyMsg, bool) {
	for i, c := range d.commands {
		if s, ok := c.(SendCmd); ok {
			if r, ok := s.msg.(order.JobReplyMsg); ok {
				d.drop(i)
				return r, true
			}
		}
	}
	return order.JobReplyMsg{}, false
}

// question returns the next request for advice.
func (d *drive) question() (order.AdviseMsg, bool) {
	for i, c := range d.commands {
		if s, ok := c.(SendCmd); ok {
			if q, ok := s.msg.(order.AdviseMsg); ok {
				d.drop(i)
				return q, true
			}
		}
	}
	return order.AdviseMsg{}, false
}

func (d *drive) advise(q order.AdviseMsg, good ...order.WorkerID) {
	var tickets []order.WorkerTicket
	for _, id := range good {
		tickets = append(tickets, order.WorkerTicket{}.WithWorker(id).WithTicket("t-"+string(id)))
	}
	d.step(NewAdviceMsg(testMember, order.AdvisedMsg{}.WithCall(q.Call()).WithOk(true).WithTickets(tickets)))
}

func (d *drive) started(s StartCmd, err error) {
	d.step(StartedMsg{order: s.order, err: err})
}

func smallStep(tasks int) order.JobStep {
	return order.JobStep{}.WithTasks(tasks).WithSize(order.NewResources(1000, 1<<20, 0)).WithEstimate(time.Second)
}

func entries(key string, value []byte) []depot.Entry {
	return []depot.Entry{depot.NewEntry(key, value, 5)}
}
