package harbour_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"chervilhollow/depot"
	"chervilhollow/gauge"
	"chervilhollow/harbour"
	"chervilhollow/order"
	"chervilhollow/roster"
	"chervilhollow/tide"
)

type (
	// network passes messages between the processes of one test.
	network struct {
		mu    sync.Mutex
		nodes map[order.MemberID]*node
		cut   func(from, to order.MemberID) bool
	}

	// node is one process: membership, peers and ownership.
	node struct {
		id       order.MemberID
		net      *network
		members  *roster.Members
		peers    *roster.Peers
		keeper   *harbour.Keeper
		registry *gauge.Registry
		cancel   context.CancelFunc
		group    sync.WaitGroup

		mu       sync.Mutex
		revision order.Revision
		acquired map[order.PartitionID]harbour.AcquiredEvent
	}
)

func newNetwork() *network {
	return &network{
		nodes: make(map[order.MemberID]*node),
		cut:   func(order.MemberID, order.MemberID) bool { return false },
	}
}

// Send implements order.Sender for the node.
func (v *node) Send(to order.MemberID, m order.Msg) error {
	v.net.mu.Lock()
	target, cut := v.net.nodes[to], v.net.cut(v.id, to)
	v.net.mu.Unlock()
	if target != nil && !cut {
		target.peers.Handle(v.id, m)
		target.keeper.Handle(v.id, m)
	}
	return nil
}

func (n *network) start(t *testing.T, name string, domain order.DomainName, store depot.Store) *node {
	t.Helper()
	clock := tide.New()
	log := zerolog.Nop()
	v := &node{
		id:       order.NewMemberID(name),
		net:      n,
		registry: gauge.New(log),
		acquired: make(map[order.PartitionID]harbour.AcquiredEvent),
	}
	v.registry.SetStrict(true)
	v.members = roster.NewMembers(roster.NewMember(v.id, order.RolePlacer, domain, ""), store, clock)
	v.peers = roster.NewPeers(v.members, v, clock, roster.WithRevision(v.Revision))
	v.keeper = harbour.New(v.id, domain, store, clock, v, v.members, v.peers, v.registry, log)
	n.mu.Lock()
	n.nodes[v.id] = v
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	v.group.Go(func() { _ = v.members.Run(ctx) })
	v.group.Go(func() { _ = v.peers.Run(ctx) })
	v.group.Go(func() { _ = v.keeper.Run(ctx) })
	v.group.Go(v.follow)
	t.Cleanup(v.stop)
	return v
}

func (v *node) Revision() order.Revision {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.revision
}

func (v *node) follow() {
	for event := range v.keeper.Events() {
		v.mu.Lock()
		switch e := event.(type) {
		case harbour.AcquiredEvent:
			v.acquired[e.Partition()] = e
		case harbour.LostEvent:
			if v.acquired[e.Partition()].Epoch() == e.Epoch() {
				delete(v.acquired, e.Partition())
			}
		}
		v.mu.Unlock()
	}
}

func (v *node) event(id order.PartitionID) harbour.AcquiredEvent {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.acquired[id]
}

// acts reports whether the node may act for the partition now.
func (v *node) acts(id order.PartitionID) bool {
	e := v.event(id)
	return e.Epoch() != 0 && v.keeper.Remaining(id, e.Epoch()) > 0
}

// stop ends the node like a planned stop without handover.
func (v *node) stop() {
	v.kill()
	v.group.Wait()
}

// kill cuts the node off at once, so that not even its lease is withdrawn.
func (v *node) kill() {
	v.net.mu.Lock()
	delete(v.net.nodes, v.id)
	v.net.mu.Unlock()
	v.cancel()
}

func eventually(t *testing.T, limit time.Duration, what string, ok func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for time.Since(began) < limit {
		if ok() {
			return time.Since(began)
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%s: not within %s", what, limit)
	return 0
}

func ids(n int) []order.PartitionID {
	var all []order.PartitionID
	for i := range n {
		all = append(all, order.RequestPartitionAt(i))
	}
	return all
}

func actors(nodes []*node, id order.PartitionID) []*node {
	var found []*node
	for _, v := range nodes {
		if v.acts(id) {
			found = append(found, v)
		}
	}
	return found
}

func allServed(nodes []*node, all []order.PartitionID) func() bool {
	return func() bool {
		for _, id := range all {
			if len(actors(nodes, id)) != 1 {
				return false
			}
		}
		return true
	}
}

// Guards against a takeover after the death of a process that takes longer
// than 3.5 s, and against a directory that does not follow.
func TestKeeperTakesOver(t *testing.T) {
	is := is.New(t)
	store := depot.NewMemory(tide.New())
	net := newNetwork()
	var nodes []*node
	for i := range 4 {
		v := net.start(t, fmt.Sprintf("10.0.0.%d:7000", i), order.DomainName([]string{"a", "b"}[i%2]), store)
		nodes = append(nodes, v)
		v.keeper.Ensure(ids(16))
	}
	eventually(t, 6*time.Second, "all partitions served", allServed(nodes, ids(16)))
	time.Sleep(3 * time.Second)
	eventually(t, time.Second, "all partitions served with standbys", allServed(nodes, ids(16)))

	victim := nodes[0]
	victim.kill()
	rest := nodes[1:]
	took := eventually(t, 3500*time.Millisecond, "takeover", allServed(rest, ids(16)))
	t.Logf("takeover of all partitions took %s", took)
	for _, id := range ids(16) {
		owner, epoch, ok := rest[0].keeper.Owner(id)
		is.True(ok)
		is.True(owner != victim.id)
		is.True(epoch >= 1)
	}
}

// Guards against goroutines that outlive Close.
func TestKeeperCloseLeavesNoGoroutine(t *testing.T) {
	defer goleak.VerifyNone(t)
	store := depot.NewMemory(tide.New())
	net := newNetwork()
	v := net.start(t, "10.0.0.1:7000", "a", store)
	v.keeper.Ensure(ids(16))
	eventually(t, 3*time.Second, "single placer serves", allServed([]*node{v}, ids(16)))
	v.keeper.Close()
	v.keeper.Close()
	if v.acts(ids(1)[0]) {
		t.Error("may act after Close")
	}
	v.stop()
}
