package counter

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"chervilhollow/order"
)

// flight is an open submission. Callers that send the same request with the
// same ID wait for one flight.
type flight struct {
	key     requestKey
	hash    uint64
	cancel  context.CancelFunc
	waiters int
	done    chan struct{}
	reply   reply
}

func (c *Counter) submit(k *call) reply {
	size := k.r.ContentLength
	if size < 0 || size > c.limits.body {
		size = c.limits.body
	}
	if !c.memory.TryAcquire(size) {
		c.deps.registry.Count("counter.memory_full")
		return newReply(order.QueueFull).withText("The gate holds too many large requests; wait and send again.")
	}
	defer c.memory.Release(size)
	s, refusal, ok := c.parse(k)
	if !ok {
		return refusal
	}
	f, made, conflict := c.table.join(s, func() *flight { return c.launch(s) })
	if conflict {
		return newReply(order.IDReused).withID(s.request.ID())
	}
	defer c.table.leave(f)
	return c.awaitFlight(k, s, f, made).withID(s.request.ID())
}

// awaitFlight waits for the answer. A caller that joined another's flight has
// its own deadline.
func (c *Counter) awaitFlight(k *call, s submission, f *flight, made bool) reply {
	var late <-chan time.Time
	if !made {
		late = c.deps.clock.After(c.submissionEnd(s).Add(c.limits.grace).Sub(k.received))
	}
	select {
	case <-f.done:
		return f.reply
	case <-late:
		return newReply(order.OutcomeUnknown)
	case <-k.r.Context().Done():
		c.deps.registry.Count("counter.caller_left")
		return reply{code: order.OutcomeUnknown, silent: true}
	}
}

// launch starts the flight of a submission.
func (c *Counter) launch(s submission) *flight {
	ctx, cancel := context.WithCancel(context.Background())
	key := requestKey{s.request.Team(), s.request.ID()}
	f := &flight{key: key, hash: s.hash, cancel: cancel, done: make(chan struct{})}
	x := c.newExchange(key, c.submissionEnd(s), func(sequence uint64, first bool) order.Msg {
		return order.SubmitMsg{}.
			WithSequence(sequence).
			WithPartition(order.RequestPartition(key.team, key.id)).
			WithRequest(s.request.WithFresh(first && s.madeID))
	})
	x.submits = true
	x.detached = s.request.Detached()
	c.open.Add(1)
	go func() {
		defer c.open.Done()
		defer cancel()
		f.reply = x.run(ctx)
		c.table.land(f)
		close(f.done)
	}()
	return f
}

// submissionEnd returns how long the gate waits for the answer, or for the
// acknowledgement of a detached request.
func (c *Counter) submissionEnd(s submission) time.Time {
	end := s.request.Deadline()
	if s.request.Detached() {
		limit := s.request.Received().Add(c.limits.defaultDeadline)
		if end.IsZero() || limit.Before(end) {
			end = limit
		}
	}
	return end
}

func (c *Counter) status(k *call) reply { return c.query(k, 0, false) }

func (c *Counter) result(k *call) reply {
	wait := time.Duration(0)
	if text := k.r.URL.Query().Get("wait_ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 || ms > c.limits.maxWait.Milliseconds() {
			return malformed("wait_ms must be between 0 and " + strconv.FormatInt(c.limits.maxWait.Milliseconds(), 10))
		}
		wait = time.Duration(ms) * time.Millisecond
	}
	return c.query(k, wait, true)
}

// query asks for the state of a request, and for its result if that is
// wanted.
func (c *Counter) query(k *call, wait time.Duration, result bool) reply {
	key, ok := keyOf(k)
	if !ok {
		return newReply(order.UnknownRequest)
	}
	x := c.newExchange(key, k.received.Add(max(wait, c.limits.callTimeout)), func(sequence uint64, _ bool) order.Msg {
		return order.StatusMsg{}.
			WithPartition(order.RequestPartition(key.team, key.id)).
			WithTeam(key.team).
			WithRequest(key.id).
			WithFollow(wait > 0).
			WithSequence(sequence)
	})
	x.follow = wait > 0
	x.waitEnd = k.received.Add(wait)
	r := x.run(k.r.Context())
	if !result {
		r = statusOnly(r)
	}
	return r
}

// statusOnly answers a status call with 200 whatever the outcome of the
// request was, and without its result.
func statusOnly(r reply) reply {
	r.result = nil
	if r.state == order.RequestDone {
		r.status = http.StatusOK
	}
	return r
}

// cancel asks the owner to cancel and waits for the end of the request.
func (c *Counter) cancel(k *call) reply {
	key, ok := keyOf(k)
	if !ok {
		return newReply(order.UnknownRequest)
	}
	x := c.newExchange(key, k.received.Add(c.limits.callTimeout), func(sequence uint64, _ bool) order.Msg {
		return order.CancelMsg{}.
			WithPartition(order.RequestPartition(key.team, key.id)).
			WithTeam(key.team).
			WithRequest(key.id).
			WithSequence(sequence)
	})
	x.follow = true
	x.waitEnd = x.end
	r := x.run(k.r.Context())
	if r.code == order.CancelledBeforeRun || r.code == order.CancelledRunning {
		r.status = http.StatusOK
	}
	return r
}

func keyOf(k *call) (requestKey, bool) {
	id := k.r.PathValue("id")
	return requestKey{k.team, order.RequestID(id)}, validID(id)
}
