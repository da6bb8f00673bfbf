package roster

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"chervilhollow/order"
	"chervilhollow/timers"
)

type (
	// StateExchange sends the state of this process to its ring neighbours and
	// collects the states of other members. From these it decides whether the
	// store is unreachable for most members or only for this one. It is safe
	// for concurrent use.
	StateExchange struct {
		self            order.MemberID
		members         *Membership
		sender          order.Sender
		clock           timers.Clock
		log             zerolog.Logger
		revision        func() order.Revision
		onNewerRevision func(order.MemberID, order.Revision)

		mu      sync.Mutex
		reports map[order.MemberID]stateReport
	}

	// StateExchangeOption configures NewStateExchange.
	StateExchangeOption func(*StateExchange)

	stateReport struct {
		receivedAt     time.Time
		revision       order.Revision
		storeReachable bool
	}

	// ringMember is a member on the ring of buildRing. The position is in
	// (0, 1) and spreads the members of each failure domain evenly.
	ringMember struct {
		id       order.MemberID
		domain   order.DomainName
		hash     uint64
		position float64
	}
)

const (
	// MaxPeers is the largest number of peers that a process sends its state
	// to.
	MaxPeers = 8

	stateInterval = time.Second
	reportTTL     = 3 * time.Second

	// Whether the store is reachable is checked more often than it is sent,
	// and a change is sent at once. In an outage a process may only continue
	// if most members report it, so the reports must arrive before the others
	// stop.
	storePollInterval = 100 * time.Millisecond
)

// WithRevision sets the function that returns the configuration revision of
// this process. By default the revision is 0.
func WithRevision(revision func() order.Revision) StateExchangeOption {
	return func(x *StateExchange) { x.revision = revision }
}

// WithOnNewerRevision sets the function that is called when a peer reports a
// newer configuration revision. It must not block.
func WithOnNewerRevision(newer func(peer order.MemberID, revision order.Revision)) StateExchangeOption {
	return func(x *StateExchange) { x.onNewerRevision = newer }
}

// WithStateExchangeLog sets the log. By default nothing is logged.
func WithStateExchangeLog(log zerolog.Logger) StateExchangeOption {
	return func(x *StateExchange) { x.log = log }
}

// NewStateExchange returns the exchange of member states for the process. Run
// must be called to send the own state.
func NewStateExchange(members *Membership, sender order.Sender, clock timers.Clock, opts ...StateExchangeOption) *StateExchange {
	x := &StateExchange{
		self:            members.Self().ID(),
		members:         members,
		sender:          sender,
		clock:           clock,
		log:             zerolog.Nop(),
		revision:        func() order.Revision { return 0 },
		onNewerRevision: func(order.MemberID, order.Revision) {},
		reports:         make(map[order.MemberID]stateReport),
	}
	for _, opt := range opts {
		opt(x)
	}
	return x
}

// Run sends the state once a second, and at once when the store becomes
// unreachable or reachable, until the context ends.
func (x *StateExchange) Run(ctx context.Context) error {
	ticks := x.clock.Subscribe(storePollInterval)
	defer ticks.Close()
	var (
		sent      time.Time
		reachable bool
	)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C():
		}
		now := x.clock.Now()
		if r := x.members.StoreReachable(); r != reachable || now.Sub(sent) >= stateInterval {
			reachable, sent = r, now
			x.send(reachable)
		}
	}
}

// Handle records a member state message. It ignores all other messages.
func (x *StateExchange) Handle(from order.MemberID, m order.Msg) {
	if state, ok := m.(order.MemberStateMsg); ok {
		x.RecordState(from, state.Revision(), state.StoreReachable())
	}
}

// RecordState records the state that a member reported in a member state
// message, a heartbeat or a promise.
func (x *StateExchange) RecordState(from order.MemberID, revision order.Revision, reachable bool) {
	x.mu.Lock()
	x.reports[from] = stateReport{receivedAt: x.clock.Now(), revision: revision, storeReachable: reachable}
	x.mu.Unlock()
	if revision > x.Revision() {
		x.onNewerRevision(from, revision)
	}
}

// Revision returns the configuration revision of this process, or 0 if it has
// none yet.
func (x *StateExchange) Revision() order.Revision { return x.revision() }

// MajorityLostStore reports whether more than half of the other known members
// reported within reportTTL that they cannot reach the store. The known members
// are the ring neighbours and all that reported within reportTTL. A neighbour
// without a current report counts as one that reaches the store.
func (x *StateExchange) MajorityLostStore() bool {
	neighbours := x.neighbours()
	now := x.clock.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	known, lost := 0, 0
	for _, id := range neighbours {
		if _, ok := x.reports[id]; !ok {
			known++
		}
	}
	for id, r := range x.reports {
		current := now.Sub(r.receivedAt) <= reportTTL
		if !current && !contains(neighbours, id) {
			delete(x.reports, id)
			continue
		}
		known++
		if current && !r.storeReachable {
			lost++
		}
	}
	return 2*lost > known
}

func (x *StateExchange) send(reachable bool) {
	m := order.MemberStateMsg{}.WithRevision(x.Revision()).WithStoreReachable(reachable)
	for _, id := range x.neighbours() {
		if err := x.sender.Send(id, m); err != nil {
			x.log.Debug().Err(err).Str("peer", string(id)).Msg("roster: member state not sent")
		}
	}
}

func (x *StateExchange) neighbours() []order.MemberID {
	return ringNeighbours(x.self, x.members.Members())
}

// ringNeighbours returns up to MaxPeers members that are nearest on both sides
// of the ring. The relation is symmetric, so a member receives from those it
// sends to. The failure domains are interleaved on the ring, so that a domain
// that loses its network as a whole is not the majority among the neighbours of
// its members.
func ringNeighbours(self order.MemberID, members []Member) []order.MemberID {
	ring := buildRing(members)
	selfIndex := -1
	for i, member := range ring {
		if member.id == self {
			selfIndex = i
		}
	}
	if selfIndex < 0 {
		return nil
	}
	count := min(MaxPeers, len(ring)-1)
	neighbours := make([]order.MemberID, 0, count)
	for step := 1; len(neighbours) < count; step++ {
		neighbours = append(neighbours, ring[(selfIndex+step)%len(ring)].id)
		if len(neighbours) < count {
			neighbours = append(neighbours, ring[(selfIndex+len(ring)-step)%len(ring)].id)
		}
	}
	return neighbours
}

// buildRing orders the members by their position within their failure domain,
// and those at the same position by domain. The order within a domain is that
// of the hashed IDs, so all members compute the same ring.
func buildRing(members []Member) []ringMember {
	ring := make([]ringMember, 0, len(members))
	sizes := make(map[order.DomainName]int)
	for _, m := range members {
		ring = append(ring, ringMember{id: m.id, domain: m.domain, hash: xxhash.Sum64String(string(m.id))})
		sizes[m.domain]++
	}
	sort.Slice(ring, func(i, j int) bool { return ring[i].hash < ring[j].hash })
	ranks := make(map[order.DomainName]int)
	for i := range ring {
		domain := ring[i].domain
		ring[i].position = (float64(ranks[domain]) + 0.5) / float64(sizes[domain])
		ranks[domain]++
	}
	sort.SliceStable(ring, func(i, j int) bool {
		if ring[i].position != ring[j].position {
			return ring[i].position < ring[j].position
		}
		return ring[i].domain < ring[j].domain
	})
	return ring
}

func contains(ids []order.MemberID, id order.MemberID) bool {
	for _, known := range ids {
		if known == id {
			return true
		}
	}
	return false
}
