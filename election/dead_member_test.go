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
	beat(1)
	is.True(!e.mayClaim())
	beat(3) // another process has owned the cell in between
	is.True(!e.mayClaim())
}
