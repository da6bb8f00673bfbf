package election

import (
	"testing"

	"github.com/matryer/is"

	"chervilhollow/order"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

// Guards against claims from a live owner whose address refused a connection once.
func TestHeartbeatProvesThatOwnerIsNotDead(t *testing.T) {
	is := is.New(t)
	owner := order.MemberID("10.0.0.1:7000/a")
	e := newElector("10.0.0.2:7000/b", storage.NewMemory(timers.New()))
	e.synced, e.version, e.leaseHeld = true, 1, true
	beat := func(epoch order.Epoch) {
		e.HandleHeartbeat(owner, order.OwnerHeartbeatMsg{}.WithEpoch(epoch).WithStoreReachable(true))
	}
	beat(1)
	is.True(!e.mayClaim())
	e.MarkDead(owner)
	e.HandleHeartbeat("10.0.0.3:7000/c", order.OwnerHeartbeatMsg{}.WithEpoch(1).WithStoreReachable(true))
	is.True(e.mayClaim()) // that was another process
	beat(1)
	is.True(!e.mayClaim())
	beat(3) // another process has owned the cell in between
	is.True(!e.mayClaim())
}

// Guards against claims from an owner whose address refused a connection during an earlier ownership.
func TestRefusalInEarlierOwnershipAllowsNoClaim(t *testing.T) {
	owner := order.MemberID("10.0.0.1:7000/a")
	for name, learn := range map[string]func(is *is.I, e *Elector){
		"from a host": func(_ *is.I, e *Elector) {
			e.HandleOwner(order.OwnerMsg{}.WithMember(owner).WithEpoch(3))
		},
		"from the store": func(is *is.I, e *Elector) {
			value, err := order.OwnerRecord{}.WithMember(owner).WithEpoch(3).MarshalCBOR()
			is.NoErr(err)
			e.applyEntry(storage.NewEntry(ownerKey, value, 9), false)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := newElector("10.0.0.2:7000/b", storage.NewMemory(timers.New()))
			e.synced, e.version, e.leaseHeld = true, 1, true
			e.HandleOwner(order.OwnerMsg{}.WithMember(owner).WithEpoch(1))
			e.MarkDead(owner)
			is.True(e.mayClaim())
			learn(is, e)
			is.True(!e.mayClaim())
		})
	}
}
