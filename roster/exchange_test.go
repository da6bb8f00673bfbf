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

// recordingSender records member state messages and delivers them to their
// targets, except those for which drop returns true.
type recordingSender struct {
	mu    sync.Mutex
	from  order.MemberID
	sent  map[order.MemberID][]order.MemberStateMsg
	peers map[order.MemberID]*roster.StateExchange
	drop  func(from, to order.MemberID) bool
}

// Send implements order.Sender.
func (m *recordingSender) Send(to order.MemberID, msg order.Msg) error {
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

func (m *recordingSender) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.sent)
}

// counts returns the number of messages to each peer.
func (m *recordingSender) counts() map[order.MemberID]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := make(map[order.MemberID]int)
	for to, sent := range m.sent {
		counts[to] = len(sent)
	}
	return counts
}

// cluster holds the components of all members by ID.
type cluster struct {
	*harness
	members map[order.MemberID]*roster.Membership
	peers   map[order.MemberID]*roster.StateExchange
	senders map[order.MemberID]*recordingSender
	stores  map[order.MemberID]*unreachableStore
	domains map[order.MemberID]order.DomainName
}

// newCluster starts count members in each of the domains and waits until all
// are registered.
func newCluster(t *testing.T, count int, domains ...order.DomainName) *cluster {
	c := &cluster{
		harness: newHarness(t),
		members: make(map[order.MemberID]*roster.Membership),
		peers:   make(map[order.MemberID]*roster.StateExchange),
		senders: make(map[order.MemberID]*recordingSender),
		stores:  make(map[order.MemberID]*unreachableStore),
		domains: make(map[order.MemberID]order.DomainName),
	}
	for _, domain := range domains {
		for i := range count {
			c.addMember(order.MemberID(fmt.Sprintf("%s%d/1", domain, i)), domain)
		}
	}
	for id, p := range c.peers {
		c.senders[id].peers = c.peers
		c.wg.Go(func() { _ = p.Run(c.ctx) })
	}
	c.advanceUntil(3*time.Second, "all registered", func() bool {
		for _, m := range c.members {
			if len(m.Members()) != len(c.members) {
				return false
			}
		}
		return true
	})
	return c
}

func (c *cluster) addMember(id order.MemberID, domain order.DomainName) {
	c.stores[id] = &unreachableStore{Store: c.store}
	c.members[id] = c.startMember(id, domain, c.stores[id])
	c.senders[id] = &recordingSender{from: id, sent: make(map[order.MemberID][]order.MemberStateMsg)}
	c.peers[id] = roster.NewStateExchange(c.members[id], c.senders[id], c.clock)
	c.domains[id] = domain
}

// Guards against members that treat an outage of the store as a loss of their
// own connection: all of them would stop placing tasks.
func TestStateExchangeReportsOutage(t *testing.T) {
	c := newCluster(t, 3, "a", "b", "c")
	c.advance(2 * time.Second)
	for id, p := range c.peers {
		if p.MajorityLostStore() {
			t.Fatalf("%s reports an outage although the store is reachable", id)
		}
	}
	c.store.SetOutage(true)
	took := c.advanceUntil(2800*time.Millisecond, "outage detected by all members", func() bool {
		for _, p := range c.peers {
			if !p.MajorityLostStore() {
				return false
			}
		}
		return true
	})
	t.Logf("all members detected the outage after %s", took)
	c.store.SetOutage(false)
	c.advanceUntil(5*time.Second, "end of the outage detected by all members", func() bool {
		for _, p := range c.peers {
			if p.MajorityLostStore() {
				return false
			}
		}
		return true
	})
}

// Guards against a failure domain that loses its network as a whole and treats
// that as an outage for most members.
func TestStateExchangeCutOffDomain(t *testing.T) {
	for _, domains := range [][]order.DomainName{{"a", "b"}, {"a", "b", "c"}, {"a", "b", "c", "d"}} {
		t.Run(fmt.Sprint(domains), func(t *testing.T) {
			c := newCluster(t, 6, domains...)
			c.advance(2 * time.Second)
			for id := range c.peers {
				c.stores[id].setUnreachable(c.domains[id] == "a")
				c.senders[id].mu.Lock()
				c.senders[id].drop = func(from, to order.MemberID) bool {
					return (c.domains[from] == "a") != (c.domains[to] == "a")
				}
				c.senders[id].mu.Unlock()
			}
			for range 8 {
				c.advance(time.Second)
				for id, p := range c.peers {
					if p.MajorityLostStore() {
						t.Fatalf("%s reports that most members lost the store", id)
					}
				}
			}
		})
	}
}

// Guards against state messages to more than 8 peers or more often than once a
// second, and against members that do not receive from those they send to.
func TestStateExchangeRing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 6, "a", "b", "c")
	c.advance(3 * time.Second)
	for _, m := range c.senders {
		m.reset()
	}
	c.advance(10 * time.Second)
	sent := make(map[order.MemberID]map[order.MemberID]int)
	for id, m := range c.senders {
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

// Guards against a newer configuration revision at a peer that is not reported
// to the process.
func TestStateExchangeReportsNewerRevision(t *testing.T) {
	is := is.New(t)
	r := newHarness(t)
	m := r.startMember("a/1", "east", r.store)
	var notified []order.MemberID
	p := roster.NewStateExchange(m, nil, r.clock,
		roster.WithRevision(func() order.Revision { return 4 }),
		roster.WithOnNewerRevision(func(peer order.MemberID, _ order.Revision) { notified = append(notified, peer) }))
	p.Handle("b/1", order.MemberStateMsg{}.WithRevision(4))
	p.Handle("c/1", order.MemberStateMsg{}.WithRevision(5))
	p.Handle("d/1", order.HelloMsg{})
	is.Equal(notified, []order.MemberID{"c/1"})
}
