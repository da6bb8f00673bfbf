// Package helm elects the owner of a cell. One process holds the ownership
// record in the store, with a store lease that expires if the process stops
// renewing it. Start with Run and tick.
package helm

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/depot"
	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/tide"
)

type (
	// Elector claims the ownership of a cell for one process and keeps it. Its
	// methods may be called from any goroutine.
	Elector struct {
		self     order.MemberID
		store    depot.Batcher
		clock    tide.Clock
		registry *gauge.Registry
		log      zerolog.Logger
		events   chan Event

		// claimDelay delays the claims of this process, so that others claim
		// first.
		claimDelay time.Duration

		mu sync.Mutex

		// synced reports whether the keys of the cell were read completely at
		// least once. owner is the last known owner, and version that of its
		// record in the store. leaseHeld reports whether the owner's lease
		// exists. heartbeat is the owner's last message, received at
		// lastHeartbeatAt.
		synced          bool
		owner           order.OwnerRecord
		version         depot.Version
		leaseHeld       bool
		lastHeartbeatAt time.Time
		heartbeat       order.OwnerHeartbeatMsg

		// isOwner reports whether this process owns the cell, with the given
		// lease, last renewed at renewedAt. storeAnsweredAt is when the last
		// call was sent that the store answered.
		isOwner         bool
		lease           depot.LeaseID
		renewedAt       time.Time
		storeAnsweredAt time.Time

		// leaving is set by Leave; from then on this process makes no claim.
		// After a release or a loss it makes none before noClaimBefore.
		leaving       bool
		noClaimBefore time.Time

		// deadMember is a member whose process has exited.
		deadMember order.MemberID

		// probes counts the successful reads in a row while the owner's last
		// heartbeat says that it does not reach the store, or there was none.
		probes   int
		probedAt time.Time
	}

	// Event is a change of the ownership: an AcquiredEvent, a LostEvent or an
	// OwnerEvent.
	Event interface{ event() }

	// AcquiredEvent reports that this process has become the owner.
	AcquiredEvent struct {
		epoch  order.Epoch
		record depot.Entry
	}

	// LostEvent reports that this process is no longer the owner. There is none
	// after Release and Leave.
	LostEvent struct{}

	// OwnerEvent reports which process owns the cell.
	OwnerEvent struct {
		member order.MemberID
		epoch  order.Epoch
	}
)

const (
	// Prefix is the prefix of the cell's keys in the store.
	Prefix   = "cell/"
	ownerKey = Prefix + "owner"
	leaseKey = Prefix + "alive"

	// leaseTTL is how long the cell stays with an owner that does not reach the
	// store. A takeover has to fit into the workers' leases of 6 s.
	leaseTTL = time.Second

	// renewInterval allows two renewals to fail before the lease expires.
	renewInterval = 300 * time.Millisecond

	// heartbeatTimeout is how long an owner may send no heartbeat; it sends
	// four a second.
	heartbeatTimeout = 800 * time.Millisecond

	// tickInterval is how often claims, probes and renewals are considered.
	tickInterval = 100 * time.Millisecond

	// claimJitter is the longest random delay of a claim. It gives most
	// processes time to see that another one has claimed first.
	claimJitter = 150 * time.Millisecond

	// minClaimProbes is how many reads have to succeed, a probeInterval apart,
	// before a process claims from an owner that sends heartbeats but does not
	// reach the store. After an outage, the owner's own retries mostly succeed
	// before that.
	minClaimProbes = 2
	probeInterval  = 100 * time.Millisecond

	callTimeout = 800 * time.Millisecond
	eventBuffer = 64

	// releaseCooldown is how long a process that released the cell makes no
	// claim, and reclaimDelay how long one that lost it.
	releaseCooldown = 2 * time.Second
	reclaimDelay    = 100 * time.Millisecond
)

func (AcquiredEvent) event() {}
func (LostEvent) event()     {}
func (OwnerEvent) event()    {}

// Epoch returns the fencing token of this ownership.
func (e AcquiredEvent) Epoch() order.Epoch { return e.epoch }

// Record returns the ownership record. Each write to the store has to expect
// its version, so that it fails once another process is the owner.
func (e AcquiredEvent) Record() depot.Entry { return e.record }

// Member returns the owner, or an empty ID if the cell has had none.
func (e OwnerEvent) Member() order.MemberID { return e.member }

// Epoch returns the fencing token of the owner.
func (e OwnerEvent) Epoch() order.Epoch { return e.epoch }

// New returns the election of a cell's owner as seen by the process self. It
// does nothing until Run is called.
func New(self order.MemberID, store depot.Batcher, clock tide.Clock, registry *gauge.Registry, log zerolog.Logger) *Elector {
	return &Elector{
		self: self, store: store, clock: clock, registry: registry, log: log,
		events: make(chan Event, eventBuffer),
	}
}

// SetClaimDelay delays the claims of a process that should own the cell only if
// no other does. It is called before Run.
func (k *Elector) SetClaimDelay(claimDelay time.Duration) { k.claimDelay = claimDelay }

// Events returns the channel of ownership changes. It has to be read all the
// time: an event that finds it full is dropped.
func (k *Elector) Events() <-chan Event { return k.events }

// HandleHeartbeat handles an owner's heartbeat. The sender may be a later
// owner than the last known one.
func (k *Elector) HandleHeartbeat(from order.MemberID, m order.OwnerHeartbeatMsg) {
	k.HandleOwner(order.OwnerMsg{}.WithMember(from).WithEpoch(m.Epoch()))
	k.mu.Lock()
	defer k.mu.Unlock()
	if from != k.owner.Member() || m.Epoch() != k.owner.Epoch() {
		return
	}
	k.lastHeartbeatAt, k.heartbeat = k.clock.Now(), m
	if m.StoreReachable() {
		k.probes = 0
	}
}

// HandleOwner handles another process's report of the owner. It matters
// if that owner is later than the last known one and the store does
// not answer this process.
func (k *Elector) HandleOwner(m order.OwnerMsg) {
	k.mu.Lock()
	newer := m.Epoch() > k.owner.Epoch()
	if newer {
		k.owner = order.OwnerRecord{}.WithMember(m.Member()).WithEpoch(m.Epoch())
		k.lastHeartbeatAt, k.leaseHeld = k.clock.Now(), true
	}
	k.mu.Unlock()
	if !newer {
		return
	}
	k.log.Info().Str("owner", string(m.Member())).Uint64("epoch", uint64(m.Epoch())).Msg("helm: owner, by another process")
	k.StepDown("another process reported a later owner")
	k.emit(OwnerEvent{member: m.Member(), epoch: m.Epoch()})
}

// Owner returns the last known owner, and whether it is this process.
func (k *Elector) Owner() (member order.MemberID, epoch order.Epoch, isOwner bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.owner.Member(), k.owner.Epoch(), k.isOwner
}

// HasOwner reports whether this process is the owner or has received a
// heartbeat of the owner within heartbeatTimeout.
func (k *Elector) HasOwner() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.isOwner || k.clock.Now().Sub(k.lastHeartbeatAt) < heartbeatTimeout
}

// StoreAge returns the time since the last call was sent that the store
// answered.
func (k *Elector) StoreAge() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.clock.Now().Sub(k.storeAnsweredAt)
}

// ReachesStore reports whether the last probe of the store succeeded. A
// process that is not the owner probes the store while the owner's
// last heartbeat says that the owner does not reach it, and before
// the first heartbeat.
func (k *Elector) ReachesStore() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.probes > 0
}

// Run watches the ownership record, and claims the cell or renews its lease,
// until the context ends. It returns nil.
func (k *Elector) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Add(1)
	go func() {
		defer wg.Done()
		f := depot.NewFollower(k.store, k.clock, Prefix, 0, k.log, k.applyChange)
		_ = f.Run(ctx)
	}()
	ticks := k.clock.Subscribe(tickInterval)
	defer ticks.Close()
	for {
		select {
		case <-ticks.C():
			k.tick(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// Leave releases the cell and makes no claim any more. It is called before the
// process exits, so that another one can claim at once.
func (k *Elector) Leave(ctx context.Context) {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	k.Release(ctx)
}

// Release revokes the lease, so that another process can claim the cell. This
// one makes no claim for releaseCooldown.
func (k *Elector) Release(ctx context.Context) {
	k.mu.Lock()
	isOwner, lease := k.isOwner, k.lease
	k.isOwner = false
	k.noClaimBefore = k.clock.Now().Add(releaseCooldown)
	k.mu.Unlock()
	if !isOwner {
		return
	}
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := k.store.Revoke(limited, lease); err != nil {
		k.log.Warn().Err(err).Msg("helm: lease not revoked, it will expire")
	}
	k.log.Info().Msg("helm: cell released")
}

// StepDown ends the ownership of this process, because there is another
// owner or the cell cannot be run here. It does nothing if this
// process is not the owner.
func (k *Elector) StepDown(reason string) {
	k.mu.Lock()
	lost := k.isOwner
	k.isOwner = false
	if lost {
		k.noClaimBefore = k.clock.Now().Add(reclaimDelay)
	}
	k.mu.Unlock()
	if lost {
		k.registry.Count("helm.lost")
		k.log.Warn().Str("reason", reason).Msg("helm: cell lost")
		k.emit(LostEvent{})
	}
}

// emit queues an event without blocking.
func (k *Elector) emit(e Event) {
	select {
	case k.events <- e:
	default:
		k.registry.Invariant(false, "helm_events", "ownership event dropped, the channel is full")
	}
}

// applyChange applies a change of the cell's keys in the store.
func (k *Elector) applyChange(c depot.Change) {
	if c.Err() != nil {
		k.log.Debug().Err(c.Err()).Msg("helm: watch of the cell's keys failed")
		return
	}
	k.mu.Lock()
	k.storeAnsweredAt = tide.Later(k.storeAnsweredAt, c.RequestedAt())
	if c.IsSnapshot() {
		k.leaseHeld, k.synced = false, true
	}
	for _, e := range c.Entries() {
		k.applyEntry(e, false)
	}
	for _, e := range c.Events() {
		k.applyEntry(e.Entry(), e.Deleted())
	}
	lost := k.isOwner && k.owner.Member() != k.self
	owner := OwnerEvent{member: k.owner.Member(), epoch: k.owner.Epoch()}
	k.mu.Unlock()
	k.emit(owner)
	if lost {
		k.StepDown("the ownership record names another owner")
	}
}

// applyEntry applies the change of one key. The caller holds the lock.
func (k *Elector) applyEntry(e depot.Entry, deleted bool) {
	switch e.Key() {
	case leaseKey:
		if k.leaseHeld && deleted {
			k.log.Info().Str("owner", string(k.owner.Member())).Msg("helm: lease of the owner ended")
		}
		k.leaseHeld = !deleted
	case ownerKey:
		var r order.OwnerRecord
		if err := r.UnmarshalCBOR(e.Value()); err != nil {
			k.log.Error().Err(err).Msg("helm: ownership record cannot be decoded")
			return
		}
		if e.Version() <= k.version {
			return
		}
		k.version = e.Version()
		if r.Epoch() >= k.owner.Epoch() {
			k.owner = r
			k.lastHeartbeatAt = time.Time{}
			k.log.Info().Str("owner", string(r.Member())).Uint64("epoch", uint64(r.Epoch())).
				Uint64("version", uint64(e.Version())).Msg("helm: owner")
		}
	}
}

// tick renews the lease, probes the store or claims the cell, whichever is due.
func (k *Elector) tick(ctx context.Context) {
	k.mu.Lock()
	isOwner := k.isOwner
	now := k.clock.Now()
	due := now.Sub(k.renewedAt) >= renewInterval
	mustProbe := !isOwner && k.synced && !k.heartbeat.StoreReachable() && now.Sub(k.probedAt) >= probeInterval
	k.mu.Unlock()
	switch {
	case isOwner && due:
		k.renew(ctx)
	case mustProbe:
		k.probe(ctx)
	case !isOwner && k.mayClaim():
		k.delayedClaim(ctx)
	}
}

// probe reads the ownership record, to check whether this process reaches the
// store while the owner does not.
func (k *Elector) probe(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := k.clock.Now()
	_, err := k.store.Get(limited, ownerKey)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.probedAt = sent
	if err != nil {
		k.probes = 0
		return
	}
	k.probes++
	k.storeAnsweredAt = tide.Later(k.storeAnsweredAt, sent)
}

// mayClaim reports whether the cell has no working owner and this process is
// free to claim it.
func (k *Elector) mayClaim() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	switch {
	case !k.synced || k.leaving || k.isOwner:
		return false
	case k.version == 0:
		return true
	case sameAddress(k.owner.Member(), k.self) && !now.Before(k.noClaimBefore):
		// An earlier run of this process cannot be alive beside it.
		return true
	case now.Before(k.noClaimBefore):
		return false
	case k.deadMember == k.owner.Member():
		return true
	}
	fresh := now.Sub(k.lastHeartbeatAt) < heartbeatTimeout
	if fresh && !k.heartbeat.StoreReachable() {
		return k.probes >= minClaimProbes
	}
	return !k.leaseHeld && (!fresh || k.heartbeat.Leaving())
}

// MarkDead records that nothing listens at the owner's address. The
// fencing token makes a wrong conclusion harmless.
func (k *Elector) MarkDead(member order.MemberID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.deadMember = member
	k.log.Info().Str("owner", string(member)).Msg("helm: process of the owner has exited")
}

// sameAddress reports whether two members have the same address, and so are
// successive runs of one process.
func sameAddress(a, b order.MemberID) bool {
	x, _, _ := strings.Cut(string(a), "/")
	y, _, _ := strings.Cut(string(b), "/")
	return x == y
}

// delayedClaim claims the cell after a random delay, unless another process has
// claimed it by then.
func (k *Elector) delayedClaim(ctx context.Context) {
	select {
	case <-k.clock.After(k.claimDelay + rand.N(claimJitter)):
	case <-ctx.Done():
		return
	}
	if !k.mayClaim() {
		return
	}
	if err := k.tryClaim(ctx); err != nil {
		k.registry.Count("helm.claim_failed")
		k.log.Info().Err(err).Msg("helm: claim failed")
	}
}

// tryClaim writes the ownership record with the next epoch, and the lease with
// it.
func (k *Elector) tryClaim(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.mu.Lock()
	version := k.version
	claim := order.OwnerRecord{}.WithMember(k.self).WithEpoch(k.owner.Epoch() + 1)
	k.mu.Unlock()
	sent := k.clock.Now()
	lease, err := k.store.Grant(limited, leaseTTL)
	if err != nil {
		return fmt.Errorf("grant lease: %w", err)
	}
	value, err := claim.MarshalCBOR()
	if err != nil {
		return fmt.Errorf("encode ownership record: %w", err)
	}
	batch := depot.Batch{}.Expect(ownerKey, version).
		Put(ownerKey, value, 0).Put(leaseKey, []byte(k.self), lease)
	written, err := k.store.Commit(limited, batch)
	if err != nil && !errors.Is(err, depot.ErrConflict) {
		written, err = k.verifyWrite(ctx, value, err)
	}
	if err != nil {
		return fmt.Errorf("write ownership record: %w", err)
	}
	k.recordAcquired(claim, depot.NewEntry(ownerKey, value, written), lease, sent)
	return nil
}

// verifyWrite returns the version of the ownership record if a write without a
// response took effect, and else the cause.
func (k *Elector) verifyWrite(ctx context.Context, value []byte, cause error) (depot.Version, error) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stored, err := k.store.Get(limited, ownerKey)
	if err != nil {
		return 0, fmt.Errorf("%w, then read ownership record: %w", cause, err)
	}
	if string(stored.Value()) != string(value) {
		return 0, cause
	}
	return stored.Version(), nil
}

// recordAcquired makes this process the owner and emits the events.
func (k *Elector) recordAcquired(claim order.OwnerRecord, record depot.Entry, lease depot.LeaseID, sent time.Time) {
	k.mu.Lock()
	k.owner, k.version, k.lease = claim, record.Version(), lease
	k.isOwner, k.renewedAt, k.storeAnsweredAt = true, sent, sent
	k.mu.Unlock()
	k.registry.Count("helm.acquired")
	k.log.Info().Uint64("epoch", uint64(claim.Epoch())).Uint64("version", uint64(record.Version())).Msg("helm: cell acquired")
	k.emit(AcquiredEvent{epoch: claim.Epoch(), record: record})
	k.emit(OwnerEvent{member: claim.Member(), epoch: claim.Epoch()})
}

// renew renews the lease. A lease that has expired is replaced if the record
// still names this process.
func (k *Elector) renew(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.mu.Lock()
	lease := k.lease
	k.mu.Unlock()
	sent := k.clock.Now()
	err := k.store.KeepAlive(limited, lease)
	if errors.Is(err, depot.ErrLeaseEnded) {
		err = k.replaceLease(limited)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.renewedAt = sent
	if err == nil {
		k.storeAnsweredAt = tide.Later(k.storeAnsweredAt, sent)
		return
	}
	k.registry.Count("helm.renew_failed")
	k.log.Warn().Err(err).Dur("store_age", k.clock.Now().Sub(k.storeAnsweredAt)).Msg("helm: lease not renewed")
}

// replaceLease grants a new lease and writes it if the ownership record is
// unchanged.
func (k *Elector) replaceLease(ctx context.Context) error {
	k.mu.Lock()
	version := k.version
	k.mu.Unlock()
	lease, err := k.store.Grant(ctx, leaseTTL)
	if err != nil {
		return fmt.Errorf("grant lease: %w", err)
	}
	batch := depot.Batch{}.Expect(ownerKey, version).Put(leaseKey, []byte(k.self), lease)
	_, err = k.store.Commit(ctx, batch)
	if errors.Is(err, depot.ErrConflict) {
		k.StepDown("the lease ended and another process claimed the cell")
		return err
	}
	if err != nil {
		return fmt.Errorf("write lease: %w", err)
	}
	k.mu.Lock()
	k.lease = lease
	k.mu.Unlock()
	k.log.Info().Msg("helm: lease replaced")
	return nil
}
