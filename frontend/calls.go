package frontend

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"chervilhollow/order"
)

// sharedSubmission is an open submission. All callers that send the same
// request with the same ID wait for its reply, which is valid once done is
// closed.
type sharedSubmission struct {
	key     requestKey
	hash    uint64
	cancel  context.CancelFunc
	waiters int
	done    chan struct{}
	reply   reply
}

// submit handles POST /v1/requests. The body counts against the memory limit
// until the call ends; without a known length it counts as the largest allowed.
func (h *Handler) submit(k *call) reply {
	size := k.r.ContentLength
	if size < 0 || size > h.limits.body {
		size = h.limits.body
	}
	if !h.memory.TryAcquire(size) {
		h.deps.registry.Count("counter.memory_full")
		return newReply(order.QueueFull).withText("The gate holds too many large requests; wait and send again.")
	}
	defer h.memory.Release(size)
	s, refusal, ok := h.parse(k)
	if !ok {
		return refusal
	}
	shared, created, conflict := h.exchanges.join(s, func() *sharedSubmission { return h.startSubmission(s) })
	if conflict {
		return newReply(order.IDReused).withID(s.request.ID())
	}
	defer h.exchanges.leave(shared)
	return h.awaitReply(k, s, shared, created).withID(s.request.ID())
}

// awaitReply waits for the reply of the submission. A caller that joined the
// submission of another call has its own deadline.
func (h *Handler) awaitReply(k *call, s submission, shared *sharedSubmission, created bool) reply {
	var timeout <-chan time.Time
	if !created {
		timeout = h.deps.clock.After(h.replyDeadline(s).Add(h.limits.grace).Sub(k.received))
	}
	select {
	case <-shared.done:
		return shared.reply
	case <-timeout:
		return newReply(order.OutcomeUnknown)
	case <-k.r.Context().Done():
		h.deps.registry.Count("counter.caller_left")
		return reply{code: order.OutcomeUnknown, disconnected: true}
	}
}

// startSubmission sends the request to its partition in a new goroutine.
func (h *Handler) startSubmission(s submission) *sharedSubmission {
	ctx, cancel := context.WithCancel(context.Background())
	key := requestKey{s.request.Team(), s.request.ID()}
	shared := &sharedSubmission{key: key, hash: s.hash, cancel: cancel, done: make(chan struct{})}
	x := h.newExchange(key, h.replyDeadline(s), func(sequence uint64, first bool) order.Msg {
		return order.SubmitMsg{}.
			WithSequence(sequence).
			WithPartition(order.RequestPartition(key.team, key.id)).
			WithRequest(s.request.WithFresh(first && s.generatedID))
	})
	x.isSubmission = true
	x.detached = s.request.Detached()
	h.openCalls.Add(1)
	go func() {
		defer h.openCalls.Done()
		defer cancel()
		shared.reply = x.run(ctx)
		h.exchanges.finish(shared)
		close(shared.done)
	}()
	return shared
}

// replyDeadline returns until when a submission waits for its answer, or for
// the acknowledgement of a detached request.
func (h *Handler) replyDeadline(s submission) time.Time {
	end := s.request.Deadline()
	if s.request.Detached() {
		limit := s.request.Received().Add(h.limits.defaultDeadline)
		if end.IsZero() || limit.Before(end) {
			end = limit
		}
	}
	return end
}

// status handles GET /v1/requests/{id}.
func (h *Handler) status(k *call) reply { return h.query(k, 0, false) }

// result handles GET /v1/requests/{id}/result. With wait_ms it is a long poll.
func (h *Handler) result(k *call) reply {
	wait := time.Duration(0)
	if text := k.r.URL.Query().Get("wait_ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 || ms > h.limits.maxWait.Milliseconds() {
			return malformedReply("wait_ms must be between 0 and " + strconv.FormatInt(h.limits.maxWait.Milliseconds(), 10))
		}
		wait = time.Duration(ms) * time.Millisecond
	}
	return h.query(k, wait, true)
}

// query reads the state of a request from the partition's owner, and keeps its
// result if wanted. With a wait it waits that long for the end of the request.
func (h *Handler) query(k *call, wait time.Duration, result bool) reply {
	key, ok := requestKeyFromPath(k)
	if !ok {
		return newReply(order.UnknownRequest)
	}
	x := h.newExchange(key, k.received.Add(max(wait, h.limits.callTimeout)), func(sequence uint64, _ bool) order.Msg {
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

// statusOnly removes the result and sets status 200 if the request has ended,
// whatever its outcome: the status call itself succeeded.
func statusOnly(r reply) reply {
	r.result = nil
	if r.state == order.RequestDone {
		r.status = http.StatusOK
	}
	return r
}

// cancel handles DELETE /v1/requests/{id}. It sends the cancellation to the
// partition's owner and waits for the end of the request.
func (h *Handler) cancel(k *call) reply {
	key, ok := requestKeyFromPath(k)
	if !ok {
		return newReply(order.UnknownRequest)
	}
	x := h.newExchange(key, k.received.Add(h.limits.callTimeout), func(sequence uint64, _ bool) order.Msg {
		return order.CancelMsg{}.
			WithPartition(order.RequestPartition(key.team, key.id)).
			WithTeam(key.team).
			WithRequest(key.id).
			WithSequence(sequence)
	})
	x.follow = true
	x.waitEnd = x.deadline
	r := x.run(k.r.Context())
	if r.code == order.CancelledBeforeRun || r.code == order.CancelledRunning {
		r.status = http.StatusOK
	}
	return r
}

// requestKeyFromPath reports false if the path has no valid request ID.
func requestKeyFromPath(k *call) (requestKey, bool) {
	id := k.r.PathValue("id")
	return requestKey{k.team, order.RequestID(id)}, validID(id)
}
