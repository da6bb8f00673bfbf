package frontend

import (
	"sync"

	"chervilhollow/gauge"
	"chervilhollow/order"
)

type (
	// requestKey identifies a request; IDs are unique within a team only.
	requestKey struct {
		team order.TeamName
		id   order.RequestID
	}

	// inboundMsg is a received message. The sequence is zero if the message
	// carries none.
	inboundMsg struct {
		from     order.MemberID
		sequence uint64
		msg      order.Msg
	}

	// exchangeTable holds the open exchanges and submissions, and routes each
	// received message to its exchange. Each message to a partition carries a
	// unique sequence that the answer repeats. bySequence holds the exchange of
	// each sequence, byRequest all exchanges of a request ID.
	exchangeTable struct {
		registry *gauge.Registry

		mu          sync.Mutex
		sequence    uint64
		bySequence  map[uint64]*exchange
		byRequest   map[order.RequestID]map[*exchange]struct{}
		submissions map[requestKey]*sharedSubmission
	}
)

func newExchangeTable(registry *gauge.Registry) *exchangeTable {
	return &exchangeTable{
		registry:    registry,
		bySequence:  make(map[uint64]*exchange),
		byRequest:   make(map[order.RequestID]map[*exchange]struct{}),
		submissions: make(map[requestKey]*sharedSubmission),
	}
}

func (t *exchangeTable) add(x *exchange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byRequest[x.key.id] == nil {
		t.byRequest[x.key.id] = make(map[*exchange]struct{})
	}
	t.byRequest[x.key.id][x] = struct{}{}
}

// newSequence returns an unused sequence; answers that carry it are delivered
// to the exchange.
func (t *exchangeTable) newSequence(x *exchange) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	t.bySequence[t.sequence] = x
	return t.sequence
}

// remove ends the delivery of messages to the exchange.
func (t *exchangeTable) remove(x *exchange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byRequest[x.key.id], x)
	if len(t.byRequest[x.key.id]) == 0 {
		delete(t.byRequest, x.key.id)
	}
	for sequence := range x.copies {
		delete(t.bySequence, sequence)
	}
}

// join returns the open submission of the request and adds the caller to its
// waiters. It starts the submission if there is none, and then sets created. It
// reports a conflict if the ID is in use with another body.
func (t *exchangeTable) join(s submission, start func() *sharedSubmission) (shared *sharedSubmission, created, conflict bool) {
	key := requestKey{s.request.Team(), s.request.ID()}
	t.mu.Lock()
	defer t.mu.Unlock()
	shared, ok := t.submissions[key]
	if ok {
		if shared.hash != s.hash {
			return nil, false, true
		}
		shared.waiters++
		t.registry.Count("counter.joined")
		return shared, false, false
	}
	shared = start()
	shared.waiters = 1
	t.submissions[key] = shared
	return shared, true, false
}

// leave removes a waiter. It cancels the submission when none remains.
func (t *exchangeTable) leave(shared *sharedSubmission) {
	t.mu.Lock()
	defer t.mu.Unlock()
	shared.waiters--
	if shared.waiters == 0 {
		shared.cancel()
		t.removeSubmission(shared)
	}
}

// finish removes a submission that has its reply, so that the same request sent
// again starts a new one.
func (t *exchangeTable) finish(shared *sharedSubmission) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeSubmission(shared)
}

// removeSubmission ignores a submission that was already replaced under its
// key. The caller holds the lock.
func (t *exchangeTable) removeSubmission(shared *sharedSubmission) {
	if t.submissions[shared.key] == shared {
		delete(t.submissions, shared.key)
	}
}

// notifyOwnerChange makes the exchanges of a partition read its owner from the
// directory again.
func (t *exchangeTable) notifyOwnerChange(partition order.PartitionID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, set := range t.byRequest {
		for x := range set {
			if x.partition == partition {
				x.signalOwnerChange()
			}
		}
	}
}

// handle delivers a message to the exchanges it belongs to.
func (t *exchangeTable) handle(from order.MemberID, m order.Msg) {
	switch m := m.(type) {
	case order.AcceptedMsg:
		t.deliver(requestKey{m.Team(), m.Request()}, inboundMsg{from, m.Sequence(), m})
	case order.AnswerMsg:
		t.deliver(requestKey{m.Team(), m.Request()}, inboundMsg{from, m.Sequence(), m})
	case order.NotOwnerMsg:
		t.deliverNotOwner(from, m)
	default:
		t.registry.Count("counter.dropped.unexpected")
	}
}

// deliver passes the message to the exchange of its sequence. It drops the
// message and counts it as late if there is no such exchange, and as foreign if
// the exchange is for another request.
func (t *exchangeTable) deliver(key requestKey, in inboundMsg) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x, ok := t.bySequence[in.sequence]
	switch {
	case !ok:
		t.registry.Count("counter.dropped.late")
	case x.key != key:
		t.registry.Count("counter.dropped.foreign")
	default:
		t.enqueue(x, in)
	}
}

// deliverNotOwner passes the message to all exchanges with its request ID and
// partition, because it carries neither a team nor a sequence.
func (t *exchangeTable) deliverNotOwner(from order.MemberID, m order.NotOwnerMsg) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for x := range t.byRequest[m.Request()] {
		if x.partition == m.Partition() {
			t.enqueue(x, inboundMsg{from: from, msg: m})
		}
	}
}

// enqueue drops the message if the inbox of the exchange is full. The peer's
// message then comes again, because the exchange resends its own.
func (t *exchangeTable) enqueue(x *exchange, in inboundMsg) {
	select {
	case x.inbox <- in:
	default:
		t.registry.Count("counter.dropped.inbox_full")
	}
}
