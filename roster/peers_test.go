package roster_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilhollow/order"
	"chervilhollow/roster"
)

// mail records and passes on member state messages.
type mail struct {
	mu    sync.Mutex
	from  order.MemberID
	sent  map[order.MemberID][]order.MemberStateMsg
	peers map[order.MemberID]*roster.Peers
	drop  func(from, to order.MemberID) bool
}

// Send implements order.Sender.
func (m *mail) Send(to order.MemberID, msg order.Msg) error {
	m.mu.Lock()
	m.sent[to] = append(m.sent[to], msg.(order.MemberStateMsg))
	target := m.peers[to]
	if m.drop != nil && m.drop(m.from, to) {
		target = nil
	}
	m.mu.Unlock()
	if target != nil {
		target.Handle(m.from, msg)
	}
	return nil
}

func (m *mail) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.sent)
}

// counts returns the number of messages to each peer.
func (m *mail) counts() map[order.MemberID]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := make(map[order.MemberID]int)
	for to, sent := range m.sent {
		counts[to] = len(sent)
	}
	return counts
}

type cell struct {
	*rig
	members map[order.MemberID]*roster.Members
	peers   map[order.MemberID]*roster.Peers
	mails   map[order.MemberID]*mail
	stores  map[order.MemberID]*cutStore
	domains map[order.MemberID]order.DomainName
}

// newCell runs members in the domains, the given number in each.
func newCell(t *testing.T, count int, domains ...order.DomainName) *cell {
	c := &cell{
		rig:     newRig(t),
		members: make(map[order.MemberID]*roster.Members),
		peers:   make(map[order.MemberID]*roster.Peers),
		mails:   make(map[order.MemberID]*mail),
		stores:  make(map[order.MemberID]*cutStore),
		domains: make(map[order.MemberID]order.DomainName),
	}
	for _, domain := range domains {
		for i := range count {
			c.add(order.MemberID(fmt.Sprintf("%s%d/1", domain, i)), domain)
		}
	}
	for id, p := range c.peers {
		c.mails[id].peers = c.peers
		c.group.Go(func() { _ = p.Run(c.ctx) })
	}
	c.until(3*time.Second, "all registered", func() bool {
		for _, m := range c.members {
			if len(m.Members()) != len(c.members) {
				return false
			}
		}
		return true
	})
	return c
}

func (c *cell) add(id order.MemberID, domain order.DomainName) {
	c.stores[id] = &cutStore{Store: c.store}
	c.members[id] = c.member(id, domain, c.stores[id])
	c.mails[id] = &mail{from: id, sent: make(map[order.MemberID][]order.MemberStateMsg)}
	c.peers[id] = roster.NewPeers(c.members[id], c.mails[id], c.clock)
	c.domains[id] = domain
}

// Guards against an outage of the store that is taken for a loss of this
// process alone: placement would stop everywhere.
func TestPeersReportOutage(t *testing.T) {
	c := newCell(t, 3, "a", "b", "c")
	c.pass(2 * time.Second)
	for id, p := range c.peers {
		if p.MostLostStore() {
			t.Fatalf("%s believes in an outage", id)
		}
	}
	c.store.SetOutage(true)
	took := c.until(2800*time.Millisecond, "all know of the outage", func() bool {
		for _, p := range c.peers {
			if !p.MostLostStore() {
				return false
			}
		}
		return true
	})
	t.Logf("all members knew after %s", took)
	c.store.SetOutage(false)
	c.until(5*time.Second, "all know of its end", func() bool {
		for _, p := range c.peers {
			if p.MostLostStore() {
				return false
			}
		}
		return true
	})
}

// Guards against a failure domain that is cut off as a whole and takes its own
// loss for that of most members.
func TestPeersCutOffDomain(t *testing.T) {
	for _, domains := range [][]order.DomainName{{"a", "b"}, {"a", "b", "c"}, {"a", "b", "c", "d"}} {
		t.Run(fmt.Sprint(domains), func(t *testing.T) {
			c := newCell(t, 6, domains...)
			c.pass(2 * time.Second)
			for id := range c.peers {
				c.stores[id].set(c.domains[id] == "a")
				c.mails[id].mu.Lock()
				c.mails[id].drop = func(from, to order.MemberID) bool {
					return (c.domains[from] == "a") != (c.domains[to] == "a")
				}
				c.mails[id].mu.Unlock()
			}
			for range 8 {
				c.pass(time.Second)
				for id, p := range c.peers {
					if p.MostLostStore() {
						t.Fatalf("%s believes that most members lost the store", id)
					}
				}
			}
		})
	}
}

// Guards against messages to more than 8 peers or more often than once a
// second, and against peers that do not hear from those they send to.
func TestPeersRing(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 6, "a", "b", "c")
	c.pass(3 * time.Second)
	for _, m := range c.mails {
		m.reset()
	}
	c.pass(10 * time.Second)
	sent := make(map[order.MemberID]map[order.MemberID]int)
	for id, m := range c.mails {
		sent[id] = m.counts()
	}
	for id, counts := range sent {
		is.Equal(len(counts), roster.MaxPeers)
		for to, n := range counts {
			is.True(n >= 9 && n <= 11)
			is.True(sent[to][id] > 0)
		}
	}
}

// Guards against a newer configuration at a peer that goes unnoticed.
func TestPeersTellNewerRevision(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	m := r.member("a/1", "east", r.store)
	var told []order.MemberID
	p := roster.NewPeers(m, nil, r.clock,
		roster.WithRevision(func() order.Revision { return 4 }),
		roster.WithNewer(func(peer order.MemberID, _ order.Revision) { told = append(told, peer) }))
	p.Handle("b/1", order.MemberStateMsg{}.WithRevision(4))
	p.Handle("c/1", order.MemberStateMsg{}.WithRevision(5))
	p.Handle("d/1", order.HelloMsg{})
	is.Equal(told, []order.MemberID{"c/1"})
}
