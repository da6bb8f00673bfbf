// Models the advice service of PROTOCOL.md, section "Running tasks".

package scheduler

import (
	"fmt"
	"hash/fnv"
	"time"

	"chervilhollow/order"
)

type (
	modelAdvice struct {
		world   *world
		tickets map[string]modelTicket
	}

	// modelTicket permits a step on one life of a worker.
	modelTicket struct {
		step  TaskRef
		life  int64
		until time.Time
	}
)

// advise answers a request of an owner, which it may lose or refuse.
func (a *modelAdvice) advise(o *modelOwner, q order.AdviceRequestMsg) {
	w := a.world
	if w.network.lossy && w.chance(3) {
		return
	}
	delay := exploreAdvice.Duration(len(q.Workers())) + w.upTo(10*time.Millisecond)
	if w.network.lossy && w.chance(5) {
		delay += w.upTo(2 * time.Second)
	}
	w.after(delay, func() {
		reply := order.AdviceReplyMsg{}.WithCall(q.Call()).WithOk(!w.network.lossy || !w.chance(5))
		var tickets []order.WorkerTicket
		for _, id := range q.Workers() {
			if m := w.worker(id); reply.Ok() && m != nil && m.up && a.allowed(q, m) {
				tickets = append(tickets, order.WorkerTicket{}.WithWorker(id).WithTicket(a.issue(q, m)))
			}
		}
		w.after(w.upTo(10*time.Millisecond), func() { o.process().handle(NewAdviceMsg(testMember, reply.WithTickets(tickets))) })
	})
}

// allowed reports whether the step may run on the worker, which never changes. It
// may on two thirds of those in place at a time.
func (a *modelAdvice) allowed(q order.AdviceRequestMsg, m *modelWorker) bool {
	h := fnv.New32()
	fmt.Fprint(h, q.Job(), q.Step())
	return (int(h.Sum32()%exploreWorkers)+m.place)%3 > 0
}

func (a *modelAdvice) issue(q order.AdviceRequestMsg, m *modelWorker) string {
	text := fmt.Sprintf("%d", len(a.tickets))
	a.tickets[text] = modelTicket{
		step: NewTaskRef(q.Job(), q.Occurrence(), q.Step(), 0), life: m.life, until: a.world.now.Add(exploreAdvice.Validity()),
	}
	return text
}

// accepts reports whether the worker takes the start as far as tickets go.
func (a *modelAdvice) accepts(m *modelWorker, o StartOrder) bool {
	j := a.world.clients.byID[o.task.job]
	if j == nil || !a.world.operator.queues[j.route].advice {
		return true
	}
	t, ok := a.tickets[o.ticket]
	return ok && t.step == stepOf(o.task) && t.life == m.life && a.world.now.Before(t.until)
}
