package election

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilhollow/storage"
	"chervilhollow/timers"
)

// An owner on a store that answers after half a second must keep its lease.
func TestKeepsLeaseOnSlowStore(t *testing.T) {
	is := is.New(t)
	store := storage.NewMemory(timers.New())
	e := newElector("10.0.0.1:7000/a", store)
	defer run(e)()
	waitAcquired(t, e)
	store.SetSlow(500 * time.Millisecond)
	absent, reads := 0, 0
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); reads++ {
		for len(e.Events()) > 0 {
			<-e.Events()
		}
		lease, err := store.Get(context.Background(), leaseKey)
		is.NoErr(err)
		if !lease.Exists() {
			absent++
		}
	}
	if absent > 0 {
		t.Errorf("the lease is absent in %d of %d reads", absent, reads)
	}
}
