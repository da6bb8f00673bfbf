package quota_test

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/quota"
	"chervilhollow/sheet"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

// longGuard is the guard of an ownership that does not expire in a test.
type longGuard struct{}

func (longGuard) Remaining() time.Duration { return time.Hour }

// ackingPoster acknowledges each allotment at once.
type ackingPoster struct {
	divider atomic.Pointer[quota.Divider]
}

func (e *ackingPoster) Post(partition order.PartitionID, m order.Msg) error {
	allot, ok := m.(order.AllotMsg)
	group, isGroup := partition.Group()
	if ok && isGroup {
		e.divider.Load().Handle("placer", order.AllotAckMsg{}.
			WithTeam(allot.Team()).
			WithGroup(group).
			WithCount(allot.Count()).
			WithVersion(allot.Version()))
	}
	return nil
}

// Guards against a divider that writes nothing, that a store outage stops
// permanently, or that leaves a goroutine after Close.
func TestDividerRuns(t *testing.T) {
	// The metrics library runs one goroutine per process.
	defer goleak.VerifyNone(t, goleak.IgnoreTopFunction("github.com/rcrowley/go-metrics.(*meterArbiter).tick"))
	is := is.New(t)
	clock := timers.New()
	store := storage.NewMemory(clock)
	store.SetOutage(true)
	config := sheet.NewConfig(1).WithTeam(sheet.NewTeam(team, 1, 12))
	groups := []order.GroupID{"d0/a", "d1/b", "d2/c"}
	digests := make([]order.GroupDigest, 0, len(groups))
	for _, id := range groups {
		digests = append(digests, order.GroupDigest{}.WithGroup(id).WithDomain(id.Domain()).WithEpoch(1).WithSlots(8).WithFreeSlots(8))
	}
	e := &ackingPoster{}
	d := quota.New(order.QuotaPartition(team), 1, store, quota.NewDeps().
		WithClock(clock).
		WithRegistry(gauge.New(zerolog.Nop())).
		WithGuard(longGuard{}).
		WithPoster(e).
		WithConfig(func() *sheet.Config { return config }).
		WithDigests(func() []order.GroupDigest { return digests }).
		WithGroups(func() []order.GroupID { return groups }).
		WithHasOwner(func(order.GroupID) bool { return true }))
	e.divider.Store(d)
	ended := make(chan error, 1)
	go func() { ended <- d.Run(context.Background()) }()
	time.Sleep(300 * time.Millisecond)
	store.SetOutage(false)
	var r storedRecord
	for range 100 {
		entry, err := store.Get(context.Background(), quota.RecordKey(team))
		is.NoErr(err)
		if entry.Exists() {
			is.NoErr(json.Unmarshal(entry.Value(), &r))
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	is.Equal(r.sum(), 12)
	is.Equal(len(r.Groups), 3)
	d.Close()
	is.NoErr(<-ended)
}
