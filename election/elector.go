// Package election elects the owner of a cell. One process holds the ownership
// record in the store, with a store lease that expires if the process stops
// renewing it. Start with Elector.Run and tick.
package election

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

type (
	// Elector claims the ownership of a cell for one process and keeps it. Its
	// methods may be called from any goroutine.
	Elector struct {
		self     order.MemberID
		store    storage.Batcher
		clock    timers.Clock
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
		version         storage.Version
		leaseHeld       bool
		lastHeartbeatAt time.Time
		heartbeat       order.OwnerHeartbeatMsg

		// isOwner reports whether this process owns the cell, with the given
		// lease, last renewed at renewedAt. confirmedAt is when the last read
		// was sent that found the record unchanged, and storeAnsweredAt when
		// the last call was sent that the store answered.
		isOwner         bool
		lease           storage.LeaseID
		renewedAt       time.Time
		confirmedAt     time.Time
		storeAnsweredAt time.Time

		// leaving is set by Leave; from then on this process makes no claim.
		// After a release or a loss it makes none before noClaimBefore.
		leaving       bool
		noClaimBefore time.Time

		// deadMember is the owner if its address has refused a connection
		// during this ownership.
		deadMember order.MemberID

		// probes counts the successful reads in a row while the owner's last
		// heartbeat reports that it does not reach the store, or there was
		// none. The first of them was sent at probesSince, and the last read
		// that failed at probeFailedAt.
		probes        int
		probedAt      time.Time
		probesSince   time.Time
		probeFailedAt time.Time

		// failedCalls counts the reads and renewals that failed since the last
		// one that succeeded.
		failedCalls int
	}

	// Event is a change of the ownership: an AcquiredEvent, a LostEvent, an
	// OwnerEvent or a ConfirmedEvent.
	Event interface{ event() }

	// AcquiredEvent reports that this process has become the owner, by a claim
	// that was sent at claimedAt, when the machine had been suspended for the
	// given time. released reports whether the owner before had released the
	// cell with its leases settled.
	AcquiredEvent struct {
		epoch     order.Epoch
		record    storage.Entry
		claimedAt time.Time
		suspended time.Duration
		released  bool
	}

	// ConfirmedEvent reports that the store still had this process as the owner
	// at the time at, when the machine had been suspended for the given time, or
	// later.
	ConfirmedEvent struct {
		epoch     order.Epoch
		at        time.Time
		suspended time.Duration
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

	// renewInterval allows two renewals to fail before the lease expires. The
	// ownership is confirmed as often.
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

	// outageMemory is how long after a failed read of its own a process takes
	// it that the store was down for the owner as well. It then waits for
	// ownerGrace before it claims, so that an owner that has lived through the
	// outage keeps the cell.
	outageMemory = 3 * time.Second
	ownerGrace   = 900 * time.Millisecond

	callTimeout = 800 * time.Millisecond

	// shortCallTimeout is the timeout of most reads and renewals while the
	// store does not answer, so that its return is noticed soon. A store slowed
	// down 60 times answers after 240 ms. One call in longCallEvery has the
	// timeout callTimeout, in case the store is slower than that.
	shortCallTimeout = 300 * time.Millisecond
	longCallEvery    = 8
	eventBuffer      = 64

	// releaseCooldown is how long a process that released the cell makes no
	// claim, and reclaimDelay how long one that lost it.
	releaseCooldown = 2 * time.Second
	reclaimDelay    = 100 * time.Millisecond
)

func (AcquiredEvent) event()  {}
func (LostEvent) event()      {}
func (OwnerEvent) event()     {}
func (ConfirmedEvent) event() {}

// Epoch returns the fencing token of this ownership.
func (e AcquiredEvent) Epoch() order.Epoch { return e.epoch }

// Record returns the ownership record. Each write to the store has to expect
// its version, so that it fails once another process is the owner.
func (e AcquiredEvent) Record() storage.Entry { return e.record }

// ClaimedAt returns when the claim was sent. No other process has owned the cell
// since.
func (e AcquiredEvent) ClaimedAt() time.Time { return e.claimedAt }

// Suspended returns how long the machine had been suspended at ClaimedAt.
func (e AcquiredEvent) Suspended() time.Duration { return e.suspended }

// Epoch returns the fencing token of the ownership that was confirmed.
func (e ConfirmedEvent) Epoch() order.Epoch { return e.epoch }

// At returns a time at which this process still was the only owner: the one at
// which the call was sent that the store answered.
func (e ConfirmedEvent) At() time.Time { return e.at }

// Suspended returns how long the machine had been suspended at that time.
func (e ConfirmedEvent) Suspended() time.Duration { return e.suspended }

// Released reports whether the owner before released the cell with its leases
// settled: none that it or an earlier owner granted lasts longer than a usual one
// from ClaimedAt on.
func (e AcquiredEvent) Released() bool { return e.released }

// Member returns the owner, or an empty ID if the cell has had none.
func (e OwnerEvent) Member() order.MemberID { return e.member }

// Epoch returns the fencing token of the owner.
func (e OwnerEvent) Epoch() order.Epoch { return e.epoch }

// New returns the election of a cell's owner as seen by the process self. It
// does nothing until Run is called.
func New(self order.MemberID, store storage.Batcher, clock timers.Clock, registry *gauge.Registry, log zerolog.Logger) *Elector {
	return &Elector{
		self: self, store: store, clock: clock, registry: registry, log: log,
		events: make(chan Event, eventBuffer),
	}
}

// SetClaimDelay delays the claims of a process that should own the cell only if
// no other does. It is called before Run.
func (e *Elector) SetClaimDelay(claimDelay time.Duration) { e.claimDelay = claimDelay }

// Events returns the channel of ownership changes. It has to be read all the
// time: an event that finds it full is dropped.
func (e *Elector) Events() <-chan Event { return e.events }

// HandleHeartbeat handles an owner's heartbeat. The sender may be a later
// owner than the last known one.
func (e *Elector) HandleHeartbeat(from order.MemberID, m order.OwnerHeartbeatMsg) {
	e.HandleOwner(order.OwnerMsg{}.WithMember(from).WithEpoch(m.Epoch()))
	e.mu.Lock()
	defer e.mu.Unlock()
	if from == e.deadMember {
		e.deadMember = ""
	}
	if from != e.owner.Member() || m.Epoch() != e.owner.Epoch() {
		return
	}
	e.lastHeartbeatAt, e.heartbeat = e.clock.Now(), m
	if m.StoreReachable() {
		e.probes = 0
	}
}

// HandleOwner handles another process's report of the owner. It matters
// if that owner is later than the last known one and the store does
// not answer this process.
func (e *Elector) HandleOwner(m order.OwnerMsg) {
	e.mu.Lock()
	newer := m.Epoch() > e.owner.Epoch()
	if newer {
		e.owner = order.OwnerRecord{}.WithMember(m.Member()).WithEpoch(m.Epoch())
		e.lastHeartbeatAt, e.leaseHeld, e.deadMember = e.clock.Now(), true, ""
	}
	e.mu.Unlock()
	if !newer {
		return
	}
	e.log.Info().Str("owner", string(m.Member())).Uint64("epoch", uint64(m.Epoch())).Msg("helm: owner, by another process")
	e.StepDown("another process reported a later owner")
	e.emit(OwnerEvent{member: m.Member(), epoch: m.Epoch()})
}

// Owner returns the last known owner, and whether it is this process.
func (e *Elector) Owner() (member order.MemberID, epoch order.Epoch, isOwner bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner.Member(), e.owner.Epoch(), e.isOwner
}

// HasOwner reports whether this process is the owner or has received a
// heartbeat of the owner within heartbeatTimeout.
func (e *Elector) HasOwner() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isOwner || e.clock.Now().Sub(e.lastHeartbeatAt) < heartbeatTimeout
}

// StoreAge returns the time since the last call was sent that the store
// answered.
func (e *Elector) StoreAge() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock.Now().Sub(e.storeAnsweredAt)
}

// ConfirmedAge returns the time since the store last confirmed that this process
// owns the cell. It means nothing at another process.
func (e *Elector) ConfirmedAge() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock.Now().Sub(e.confirmedAt)
}

// ReachesStore reports whether the last probe of the store succeeded. A process
// that is not the owner probes the store while the owner's last heartbeat
// reports that the owner does not reach it, and before the first heartbeat.
func (e *Elector) ReachesStore() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.probes > 0
}

// Run watches the ownership record, and claims the cell or renews its lease,
// until the context ends. It returns nil.
func (e *Elector) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Add(1)
	go func() {
		defer wg.Done()
		f := storage.NewFollower(e.store, e.clock, Prefix, 0, e.log, e.applyChange)
		_ = f.Run(ctx)
	}()
	wg.Add(1)
	go func() {
		defer wg.Done()
		e.runConfirm(ctx)
	}()
	ticks := e.clock.Subscribe(tickInterval)
	defer ticks.Close()
	for {
		select {
		case <-ticks.C():
			e.tick(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// Leave releases the cell and makes no claim any more. It is called before the
// process exits, so that another one can claim at once.
func (e *Elector) Leave(ctx context.Context, settled order.Epoch) {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.Release(ctx, settled)
}

// Release revokes the lease, so that another process can claim the cell. This
// one makes no claim for releaseCooldown. The cell must have been stopped.
// settled is its epoch if its leases were settled then, and zero if not; the
// ownership record passes that on to the next owner.
func (e *Elector) Release(ctx context.Context, settled order.Epoch) {
	e.mu.Lock()
	isOwner, lease, record, version := e.isOwner, e.lease, e.owner, e.version
	e.isOwner = false
	e.noClaimBefore = e.clock.Now().Add(releaseCooldown)
	e.mu.Unlock()
	if !isOwner {
		return
	}
	recorded := record.Member() == e.self && record.Epoch() == settled
	if recorded {
		if err := e.recordRelease(ctx, record, version); err != nil {
			e.log.Warn().Err(err).Msg("helm: release not recorded")
			recorded = false
		}
	}
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := e.store.Revoke(limited, lease); err != nil {
		e.log.Warn().Err(err).Msg("helm: lease not revoked, it will expire")
	}
	e.log.Info().Bool("settled", recorded).Msg("helm: cell released")
}

// recordRelease marks the ownership record as released, unless another process
// has claimed the cell.
func (e *Elector) recordRelease(ctx context.Context, record order.OwnerRecord, version storage.Version) error {
	value, err := record.WithReleased(true).MarshalCBOR()
	if err != nil {
		return fmt.Errorf("encode ownership record: %w", err)
	}
	limited, cancel := context.WithTimeout(ctx, shortCallTimeout)
	defer cancel()
	if _, err := e.store.Commit(limited, storage.Batch{}.Expect(ownerKey, version).Put(ownerKey, value, 0)); err != nil {
		return fmt.Errorf("write ownership record: %w", err)
	}
	return nil
}

// StepDown ends the ownership of this process, because there is another
// owner or the cell cannot be run here. It does nothing if this
// process is not the owner.
func (e *Elector) StepDown(reason string) {
	e.mu.Lock()
	lost, epoch := e.isOwner, e.owner.Epoch()
	e.isOwner = false
	if lost {
		e.noClaimBefore = e.clock.Now().Add(reclaimDelay)
	}
	e.mu.Unlock()
	if lost {
		e.registry.Count("helm.lost")
		e.log.Warn().Str("reason", reason).Uint64("known_epoch", uint64(epoch)).Msg("helm: cell lost")
		e.emit(LostEvent{})
	}
}

// emit queues an event without blocking.
func (e *Elector) emit(event Event) {
	if !e.offer(event) {
		e.registry.Invariant(false, "helm_events", "ownership event dropped, the channel is full")
	}
}

// offer queues an event unless the channel is full, and reports whether it did.
func (e *Elector) offer(event Event) bool {
	select {
	case e.events <- event:
		return true
	default:
		return false
	}
}

// applyChange applies a change of the cell's keys in the store.
func (e *Elector) applyChange(c storage.Change) {
	if c.Err() != nil {
		e.log.Debug().Err(c.Err()).Msg("helm: watch of the cell's keys failed")
		return
	}
	e.mu.Lock()
	e.storeAnsweredAt = timers.Later(e.storeAnsweredAt, c.RequestedAt())
	if c.IsSnapshot() {
		e.leaseHeld, e.synced = false, true
	}
	for _, entry := range c.Entries() {
		e.applyEntry(entry, false)
	}
	for _, entry := range c.Events() {
		e.applyEntry(entry.Entry(), entry.Deleted())
	}
	lost := e.isOwner && e.owner.Member() != e.self
	owner := OwnerEvent{member: e.owner.Member(), epoch: e.owner.Epoch()}
	e.mu.Unlock()
	e.emit(owner)
	if lost {
		e.StepDown("the ownership record names another owner")
	}
}

// applyEntry applies the change of one key. The caller holds the lock.
func (e *Elector) applyEntry(entry storage.Entry, deleted bool) {
	switch entry.Key() {
	case leaseKey:
		if e.leaseHeld && deleted {
			e.log.Info().Str("owner", string(e.owner.Member())).Msg("helm: lease of the owner ended")
		}
		e.leaseHeld = !deleted
	case ownerKey:
		var r order.OwnerRecord
		if err := r.UnmarshalCBOR(entry.Value()); err != nil {
			e.log.Error().Err(err).Msg("helm: ownership record cannot be decoded")
			return
		}
		if entry.Version() <= e.version {
			return
		}
		e.version = entry.Version()
		if r.Epoch() >= e.owner.Epoch() {
			if r.Epoch() > e.owner.Epoch() {
				e.lastHeartbeatAt, e.deadMember = time.Time{}, ""
			}
			e.owner = r
			e.log.Info().Str("owner", string(r.Member())).Uint64("epoch", uint64(r.Epoch())).
				Uint64("version", uint64(entry.Version())).Msg("helm: owner")
		}
	}
}

// tick renews the lease, probes the store or claims the cell, whichever is due.
func (e *Elector) tick(ctx context.Context) {
	e.mu.Lock()
	isOwner := e.isOwner
	now := e.clock.Now()
	due := now.Sub(e.renewedAt) >= renewInterval
	mustProbe := !isOwner && e.synced && !e.heartbeat.StoreReachable() && now.Sub(e.probedAt) >= probeInterval
	e.mu.Unlock()
	switch {
	case isOwner && due:
		e.renew(ctx)
	case mustProbe:
		e.probe(ctx)
	case !isOwner && e.mayClaim():
		e.delayedClaim(ctx)
	}
}

// probe reads the ownership record, to check whether this process reaches the
// store while the owner does not.
func (e *Elector) probe(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, e.nextCallTimeout())
	defer cancel()
	sent := e.clock.Now()
	_, err := e.store.Get(limited, ownerKey)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.probedAt = sent
	e.countCall(err)
	if err != nil {
		e.probes, e.probeFailedAt = 0, sent
		return
	}
	if e.probes == 0 {
		e.probesSince = sent
	}
	e.probes++
	e.storeAnsweredAt = timers.Later(e.storeAnsweredAt, sent)
}

// nextCallTimeout returns the timeout of the next read or renewal.
func (e *Elector) nextCallTimeout() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failedCalls%longCallEvery == 0 {
		return callTimeout
	}
	return shortCallTimeout
}

// countCall counts a failed read or renewal. The lock must be held.
func (e *Elector) countCall(err error) {
	if err == nil {
		e.failedCalls = 0
		return
	}
	e.failedCalls++
}

// mayClaim reports whether the cell has no working owner and this process is
// free to claim it.
func (e *Elector) mayClaim() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	switch {
	case !e.synced || e.leaving || e.isOwner:
		return false
	case e.version == 0:
		return true
	case sameAddress(e.owner.Member(), e.self) && !now.Before(e.noClaimBefore):
		// An earlier run of this process cannot still be running.
		return true
	case now.Before(e.noClaimBefore):
		return false
	case e.deadMember == e.owner.Member():
		return true
	}
	fresh := now.Sub(e.lastHeartbeatAt) < heartbeatTimeout
	if fresh && !e.heartbeat.StoreReachable() {
		if now.Sub(e.probeFailedAt) < outageMemory && now.Sub(e.probesSince) < ownerGrace {
			return false
		}
		return e.probes >= minClaimProbes
	}
	return !e.leaseHeld && (!fresh || e.heartbeat.Leaving())
}

// MarkDead records that the owner's address refuses connections, so that this
// process may claim the cell. A heartbeat of the owner takes it back. The fencing
// token makes a wrong conclusion harmless.
func (e *Elector) MarkDead(member order.MemberID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deadMember = member
	e.log.Info().Str("owner", string(member)).Msg("helm: process of the owner has exited")
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
func (e *Elector) delayedClaim(ctx context.Context) {
	select {
	case <-e.clock.After(e.claimDelay + rand.N(claimJitter)):
	case <-ctx.Done():
		return
	}
	if !e.mayClaim() {
		return
	}
	if err := e.tryClaim(ctx); err != nil {
		e.registry.Count("helm.claim_failed")
		e.log.Info().Err(err).Msg("helm: claim failed")
	}
}

// tryClaim writes the ownership record with the next epoch, and the lease with
// it.
func (e *Elector) tryClaim(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e.mu.Lock()
	version, former := e.version, e.owner
	claim := order.OwnerRecord{}.WithMember(e.self).WithEpoch(former.Epoch() + 1)
	e.mu.Unlock()
	sent, suspended := e.clock.Now(), e.clock.Suspended()
	lease, err := e.store.Grant(limited, leaseTTL)
	if err != nil {
		return fmt.Errorf("grant lease: %w", err)
	}
	value, err := claim.MarshalCBOR()
	if err != nil {
		return fmt.Errorf("encode ownership record: %w", err)
	}
	batch := storage.Batch{}.Expect(ownerKey, version).
		Put(ownerKey, value, 0).Put(leaseKey, []byte(e.self), lease)
	written, err := e.store.Commit(limited, batch)
	if err != nil && !errors.Is(err, storage.ErrConflict) {
		written, err = e.verifyWrite(ctx, value, err)
	}
	if err != nil {
		return fmt.Errorf("write ownership record: %w", err)
	}
	e.recordAcquired(claim, lease, AcquiredEvent{
		epoch: claim.Epoch(), record: storage.NewEntry(ownerKey, value, written), claimedAt: sent, suspended: suspended,
		released: former.Released(),
	})
	return nil
}

// verifyWrite returns the version of the ownership record if a write without a
// response took effect, and else the cause.
func (e *Elector) verifyWrite(ctx context.Context, value []byte, cause error) (storage.Version, error) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stored, err := e.store.Get(limited, ownerKey)
	if err != nil {
		return 0, fmt.Errorf("%w, then read ownership record: %w", cause, err)
	}
	if string(stored.Value()) != string(value) {
		return 0, cause
	}
	return stored.Version(), nil
}

// recordAcquired makes this process the owner and emits the events.
func (e *Elector) recordAcquired(claim order.OwnerRecord, lease storage.LeaseID, acquired AcquiredEvent) {
	sent := acquired.claimedAt
	e.mu.Lock()
	e.owner, e.version, e.lease = claim, acquired.record.Version(), lease
	e.isOwner, e.renewedAt, e.confirmedAt, e.storeAnsweredAt = true, sent, sent, sent
	e.mu.Unlock()
	e.registry.Count("helm.acquired")
	e.log.Info().Uint64("epoch", uint64(claim.Epoch())).Uint64("version", uint64(acquired.record.Version())).
		Bool("after_release", acquired.released).Msg("helm: cell acquired")
	e.emit(acquired)
	e.emit(OwnerEvent{member: claim.Member(), epoch: claim.Epoch()})
}

// renew renews the lease. A lease that has expired is replaced if the record
// still names this process.
func (e *Elector) renew(ctx context.Context) {
	e.mu.Lock()
	lease := e.lease
	e.mu.Unlock()
	sent := e.clock.Now()
	limited, cancel := context.WithTimeout(ctx, e.nextCallTimeout())
	err := e.store.KeepAlive(limited, lease)
	cancel()
	if errors.Is(err, storage.ErrLeaseEnded) {
		err = e.replaceLease(ctx)
	}
	e.mu.Lock()
	e.countCall(err)
	if err == nil {
		e.renewedAt = sent
		e.storeAnsweredAt = timers.Later(e.storeAnsweredAt, sent)
	} else {
		e.registry.Count("helm.renew_failed")
		e.log.Warn().Err(err).Dur("store_age", e.clock.Now().Sub(e.storeAnsweredAt)).Msg("helm: lease not renewed")
	}
	e.mu.Unlock()
}

// runConfirm confirms the ownership every renewInterval, until the context ends.
// It does not wait for renewals, nor do they for it, as a slow store answers
// only two calls within the lease.
func (e *Elector) runConfirm(ctx context.Context) {
	ticks := e.clock.Subscribe(renewInterval)
	defer ticks.Close()
	for {
		select {
		case <-ticks.C():
			if _, _, isOwner := e.Owner(); isOwner {
				e.confirm(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}

// confirm reads the ownership record. A renewed lease alone is no proof of the
// ownership, since another process may have claimed the cell before it expired.
func (e *Elector) confirm(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent, suspended := e.clock.Now(), e.clock.Suspended()
	stored, err := e.store.Get(limited, ownerKey)
	if err != nil {
		e.registry.Count("helm.confirm_failed")
		e.log.Warn().Err(err).Dur("confirmed_age", e.ConfirmedAge()).Msg("helm: ownership not confirmed")
		return
	}
	e.mu.Lock()
	isOwner, version, epoch := e.isOwner, e.version, e.owner.Epoch()
	e.mu.Unlock()
	switch {
	case !isOwner:
	case stored.Version() < version:
		// The store answered before this process claimed the cell again.
	case stored.Version() > version:
		e.StepDown("the ownership record has changed")
	default:
		e.mu.Lock()
		e.confirmedAt = timers.Later(e.confirmedAt, sent)
		e.mu.Unlock()
		e.offer(ConfirmedEvent{epoch: epoch, at: sent, suspended: suspended})
	}
}

// replaceLease grants a new lease and writes it if the ownership record is
// unchanged. It does nothing if this process has released the cell.
func (e *Elector) replaceLease(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e.mu.Lock()
	isOwner, version := e.isOwner, e.version
	e.mu.Unlock()
	if !isOwner {
		return nil
	}
	lease, err := e.store.Grant(limited, leaseTTL)
	if err != nil {
		return fmt.Errorf("grant lease: %w", err)
	}
	batch := storage.Batch{}.Expect(ownerKey, version).Put(leaseKey, []byte(e.self), lease)
	limited, cancel = context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = e.store.Commit(limited, batch)
	if errors.Is(err, storage.ErrConflict) {
		e.StepDown("the lease ended and another process claimed the cell")
		return err
	}
	if err != nil {
		return fmt.Errorf("write lease: %w", err)
	}
	e.mu.Lock()
	e.lease = lease
	e.mu.Unlock()
	e.log.Info().Msg("helm: lease replaced")
	return nil
}
