package counter

import (
	"sync"

	"chervilhollow/gauge"
	"chervilhollow/order"
)

type (
	requestKey struct {
		team order.TeamName
		id   order.RequestID
	}

	inbound struct {
		from     order.MemberID
		sequence uint64
		msg      order.Msg
	}

	// table holds the open exchanges and the submissions that callers wait
	// for. Each message to a partition carries a sequence that its answers
	// repeat, so an answer finds the one exchange it belongs to.
	table struct {
		registry *gauge.Registry

		mu        sync.Mutex
		sequence  uint64
		waiting   map[uint64]*exchange
		exchanges map[order.RequestID]map[*exchange]struct{}
		flights   map[requestKey]*flight
	}
)

func newTable(registry *gauge.Registry) *table {
	return &table{
		registry:  registry,
		waiting:   make(map[uint64]*exchange),
		exchanges: make(map[order.RequestID]map[*exchange]struct{}),
		flights:   make(map[requestKey]*flight),
	}
}

func (t *table) add(x *exchange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.exchanges[x.key.id] == nil {
		t.exchanges[x.key.id] = make(map[*exchange]struct{})
	}
	t.exchanges[x.key.id][x] = struct{}{}
}

// expect returns a new sequence whose answers go to the exchange.
func (t *table) expect(x *exchange) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	t.waiting[t.sequence] = x
	return t.sequence
}

func (t *table) remove(x *exchange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.exchanges[x.key.id], x)
	if len(t.exchanges[x.key.id]) == 0 {
		delete(t.exchanges, x.key.id)
	}
	for sequence := range x.copies {
		delete(t.waiting, sequence)
	}
}

// join returns the flight of a request, and whether it was made now. It
// reports a conflict if the ID is in use with another body.
func (t *table) join(s submission, launch func() *flight) (f *flight, made, conflict bool) {
	key := requestKey{s.request.Team(), s.request.ID()}
	t.mu.Lock()
	defer t.mu.Unlock()
	f, ok := t.flights[key]
	if ok {
		if f.hash != s.hash {
			return nil, false, true
		}
		f.waiters++
		return f, false, false
	}
	f = launch()
	f.waiters = 1
	t.flights[key] = f
	return f, true, false
}

// leave ends the flight when nobody waits for it any more.
func (t *table) leave(f *flight) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f.waiters--
	if f.waiters == 0 {
		f.cancel()
		t.dropFlight(f)
	}
}

// land removes a flight that has ended.
func (t *table) land(f *flight) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropFlight(f)
}

func (t *table) dropFlight(f *flight) {
	if t.flights[f.key] == f {
		delete(t.flights, f.key)
	}
}

// wake makes the exchanges of a partition look for its owner again.
func (t *table) wake(partition order.PartitionID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, set := range t.exchanges {
		for x := range set {
			if x.partition == partition {
				x.poke()
			}
		}
	}
}

func (t *table) handle(from order.MemberID, m order.Msg) {
	switch m := m.(type) {
	case order.AcceptedMsg:
		t.deliver(requestKey{m.Team(), m.Request()}, inbound{from, m.Sequence(), m})
	case order.AnswerMsg:
		t.deliver(requestKey{m.Team(), m.Request()}, inbound{from, m.Sequence(), m})
	case order.NotOwnerMsg:
		t.deliverNotOwner(from, m)
	default:
		t.registry.Count("counter.dropped.unexpected")
	}
}

// deliver gives the message to the exchange with its sequence. A message that
// names another request is foreign, one without exchange is late.
func (t *table) deliver(key requestKey, in inbound) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x, ok := t.waiting[in.sequence]
	switch {
	case !ok:
		t.registry.Count("counter.dropped.late")
	case x.key != key:
		t.registry.Count("counter.dropped.foreign")
	default:
		t.push(x, in)
	}
}

// deliverNotOwner matches without team and sequence, which the notice does not
// carry.
func (t *table) deliverNotOwner(from order.MemberID, m order.NotOwnerMsg) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for x := range t.exchanges[m.Request()] {
		if x.partition == m.Partition() {
			t.push(x, inbound{from: from, msg: m})
		}
	}
}

func (t *table) push(x *exchange, in inbound) {
	select {
	case x.inbox <- in:
	default:
		t.registry.Count("counter.dropped.inbox_full")
	}
}
