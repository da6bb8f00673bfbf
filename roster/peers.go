package roster

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"chervilhollow/order"
	"chervilhollow/tide"
)

type (
	// Peers exchanges member state messages with a few other members.
	Peers struct {
		self     order.MemberID
		members  *Members
		sender   order.Sender
		clock    tide.Clock
		log      zerolog.Logger
		revision func() order.Revision
		newer    func(order.MemberID, order.Revision)

		mu      sync.Mutex
		reports map[order.MemberID]report
	}

	// PeersOption changes a Peers when it is made.
	PeersOption func(*Peers)

	report struct {
		at        time.Time
		revision  order.Revision
		reachable bool
	}

	ringPlace struct {
		id       order.MemberID
		domain   order.DomainName
		hash     uint64
		fraction float64
	}
)

const (
	// MaxPeers is the number of peers that get member state messages.
	MaxPeers = 8

	statePeriod = time.Second
	reportLife  = 3 * time.Second

	// The state of the store is looked at more often than it is sent, and a
	// change is sent at once: the other members then learn of an outage before
	// they would stop for want of the same report.
	stateLook = 100 * time.Millisecond
)

// WithRevision sets the function that returns the configuration revision of
// this process.
func WithRevision(revision func() order.Revision) PeersOption {
	return func(p *Peers) { p.revision = revision }
}

// WithNewer sets the function that is told of a peer with a newer revision.
// It must not block.
func WithNewer(newer func(peer order.MemberID, revision order.Revision)) PeersOption {
	return func(p *Peers) { p.newer = newer }
}

// WithPeersLog sets the log.
func WithPeersLog(log zerolog.Logger) PeersOption {
	return func(p *Peers) { p.log = log }
}

// NewPeers returns the exchange of member states of the process.
func NewPeers(members *Members, sender order.Sender, clock tide.Clock, opts ...PeersOption) *Peers {
	p := &Peers{
		self:     members.Self().ID(),
		members:  members,
		sender:   sender,
		clock:    clock,
		log:      zerolog.Nop(),
		revision: func() order.Revision { return 0 },
		newer:    func(order.MemberID, order.Revision) {},
		reports:  make(map[order.MemberID]report),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Run sends the state once a second, and at once when the store is lost or
// reached again, until the context ends.
func (p *Peers) Run(ctx context.Context) error {
	ticks := p.clock.Subscribe(stateLook)
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
		now := p.clock.Now()
		if r := p.members.StoreReachable(); r != reachable || now.Sub(sent) >= statePeriod {
			reachable, sent = r, now
			p.send(reachable)
		}
	}
}

// Handle takes a member state message. It ignores all others.
func (p *Peers) Handle(from order.MemberID, m order.Msg) {
	if state, ok := m.(order.MemberStateMsg); ok {
		p.Observe(from, state.Revision(), state.StoreReachable())
	}
}

// Observe notes what a member reports, in a member state message, a heartbeat
// or a promise.
func (p *Peers) Observe(from order.MemberID, revision order.Revision, reachable bool) {
	p.mu.Lock()
	p.reports[from] = report{at: p.clock.Now(), revision: revision, reachable: reachable}
	p.mu.Unlock()
	if revision > p.Revision() {
		p.newer(from, revision)
	}
}

// Revision returns the configuration revision of this process.
func (p *Peers) Revision() order.Revision { return p.revision() }

// MostLostStore reports whether more than half of the other known members
// lately reported that they lost the store. The known members are the ring
// neighbours and all that reported lately; one that is silent does not count
// as lost.
func (p *Peers) MostLostStore() bool {
	neighbours := p.neighbours()
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	known, lost := 0, 0
	for _, id := range neighbours {
		if _, ok := p.reports[id]; !ok {
			known++
		}
	}
	for id, r := range p.reports {
		fresh := now.Sub(r.at) <= reportLife
		if !fresh && !contains(neighbours, id) {
			delete(p.reports, id)
			continue
		}
		known++
		if fresh && !r.reachable {
			lost++
		}
	}
	return 2*lost > known
}

func (p *Peers) send(reachable bool) {
	m := order.MemberStateMsg{}.WithRevision(p.Revision()).WithStoreReachable(reachable)
	for _, id := range p.neighbours() {
		if err := p.sender.Send(id, m); err != nil {
			p.log.Debug().Err(err).Str("peer", string(id)).Msg("roster: member state not sent")
		}
	}
}

func (p *Peers) neighbours() []order.MemberID {
	return ringNeighbours(p.self, p.members.Members())
}

// ringNeighbours returns the nearest members on both sides of a ring. The
// relation is symmetric, so that a member hears from those it sends to. The
// failure domains are interleaved on the ring: a domain that is cut off as a
// whole must not be the majority among the neighbours of its members.
func ringNeighbours(self order.MemberID, members []Member) []order.MemberID {
	ring := ringOf(members)
	at := -1
	for i, place := range ring {
		if place.id == self {
			at = i
		}
	}
	if at < 0 {
		return nil
	}
	count := min(MaxPeers, len(ring)-1)
	neighbours := make([]order.MemberID, 0, count)
	for step := 1; len(neighbours) < count; step++ {
		neighbours = append(neighbours, ring[(at+step)%len(ring)].id)
		if len(neighbours) < count {
			neighbours = append(neighbours, ring[(at+len(ring)-step)%len(ring)].id)
		}
	}
	return neighbours
}

func ringOf(members []Member) []ringPlace {
	ring := make([]ringPlace, 0, len(members))
	sizes := make(map[order.DomainName]int)
	for _, m := range members {
		ring = append(ring, ringPlace{id: m.id, domain: m.domain, hash: xxhash.Sum64String(string(m.id))})
		sizes[m.domain]++
	}
	sort.Slice(ring, func(i, j int) bool { return ring[i].hash < ring[j].hash })
	ranks := make(map[order.DomainName]int)
	for i := range ring {
		domain := ring[i].domain
		ring[i].fraction = (float64(ranks[domain]) + 0.5) / float64(sizes[domain])
		ranks[domain]++
	}
	sort.SliceStable(ring, func(i, j int) bool {
		if ring[i].fraction != ring[j].fraction {
			return ring[i].fraction < ring[j].fraction
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
