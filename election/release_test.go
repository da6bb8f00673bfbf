package election

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"chervilhollow/order"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

// mutedStore answers no batch once muted.
type mutedStore struct {
	storage.Batcher
	muted   bool
	revoked error
}

func (s *mutedStore) Commit(ctx context.Context, b storage.Batch) (storage.Version, error) {
	if !s.muted {
		return s.Batcher.Commit(ctx, b)
	}
	<-ctx.Done()
	return 0, ctx.Err()
}

func (s *mutedStore) Revoke(ctx context.Context, id storage.LeaseID) error {
	s.revoked = ctx.Err()
	return s.Batcher.Revoke(ctx, id)
}

// Guards against a renewal under way that brings the lease of a released cell back, so that the next owner has to wait for its end.
func TestRenewalDoesNotReplaceLeaseOfReleasedCell(t *testing.T) {
	is := is.New(t)
	store := storage.NewMemory(timers.New())
	a := newElector("10.0.0.1:7000/a", store)
	stop := run(a)
	waitAcquired(t, a)
	stop()
	a.Release(context.Background(), 0)
	a.renew(context.Background()) // it had read the lease before the release
	lease, err := store.Get(context.Background(), leaseKey)
	is.NoErr(err)
	is.True(!lease.Exists())
}

// Guards against a release that has no time left for the lease, as the write of the record had no response.
func TestReleaseRevokesLeaseAfterUnansweredRecord(t *testing.T) {
	is := is.New(t)
	store := &mutedStore{Batcher: storage.NewMemory(timers.New())}
	a := newElector("10.0.0.1:7000/a", store)
	stop := run(a)
	epoch := waitAcquired(t, a).Epoch()
	stop()
	store.muted = true
	a.Release(context.Background(), epoch)
	is.NoErr(store.revoked)
}

// Guards against a release that overwrites the record of a later owner.
func TestReleaseKeepsRecordOfLaterOwner(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := storage.NewMemory(timers.New())
	a := newElector("10.0.0.1:7000/a", store)
	stop := run(a)
	acquired := waitAcquired(t, a)
	stop()
	_, err := store.Swap(ctx, ownerKey, acquired.Record().Version(), []byte("a later owner"), 0)
	is.NoErr(err)
	a.Release(ctx, acquired.Epoch())
	stored, err := store.Get(ctx, ownerKey)
	is.NoErr(err)
	is.Equal(string(stored.Value()), "a later owner")
}

// Guards against a release that makes the owner seem silent before its lease is revoked.
func TestReleasedRecordIsNoSilence(t *testing.T) {
	is := is.New(t)
	owner := order.MemberID("10.0.0.1:7000/a")
	record := order.OwnerRecord{}.WithMember(owner).WithEpoch(1)
	e := newElector("10.0.0.2:7000/b", storage.NewMemory(timers.New()))
	e.HandleOwner(order.OwnerMsg{}.WithMember(owner).WithEpoch(1))
	before := e.lastHeartbeatAt
	value, err := record.WithReleased(true).MarshalCBOR()
	is.NoErr(err)
	e.applyEntry(storage.NewEntry(ownerKey, value, 2), false)
	is.Equal(e.lastHeartbeatAt, before)
	is.True(e.owner.Released())
}
