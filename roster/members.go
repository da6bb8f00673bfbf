package roster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/order"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

type (
	// Membership registers this process in the store under a lease and follows
	// the records of all members. It is safe for concurrent use.
	Membership struct {
		self  Member
		store storage.Store
		clock timers.Clock
		log   zerolog.Logger

		recordDeleted chan struct{}

		mu           sync.RWMutex
		members      map[order.MemberID]Member
		listRead     bool
		lastResponse time.Time
		leaseEnd     time.Time
	}

	// MembershipOption configures NewMembership.
	MembershipOption func(*Membership)

	memberDocument struct {
		ID     order.MemberID   `json:"id"`
		Role   string           `json:"role"`
		Domain order.DomainName `json:"domain"`
		Admin  string           `json:"admin"`
	}
)

const (
	// MemberLeaseTTL is the TTL of the lease that a member record depends on. The
	// store deletes the record if the lease is not renewed in time.
	MemberLeaseTTL = 10 * time.Second

	memberPrefix     = "member/"
	renewInterval    = 3 * time.Second
	retryDelay       = 500 * time.Millisecond
	storeCallTimeout = time.Second

	// LeaseEnd subtracts 1/clockDriftDivisor of the TTL as a margin for
	// clock drift.
	clockDriftDivisor = 50

	// The watch returns at least twice a second, so that an unreachable store
	// is detected within reachableWindow even when calls hang without an
	// error. A store that takes a second to respond still responds within the
	// window, both to a watch and to any other call.
	watchWait       = 500 * time.Millisecond
	reachableWindow = 1500 * time.Millisecond
)

// WithMembershipLog sets the log. By default nothing is logged.
func WithMembershipLog(log zerolog.Logger) MembershipOption {
	return func(m *Membership) { m.log = log }
}

// NewMembership returns the membership of the process with the given record.
// Run must be called to register it.
func NewMembership(self Member, store storage.Store, clock timers.Clock, opts ...MembershipOption) *Membership {
	m := &Membership{
		self:          self,
		store:         store,
		clock:         clock,
		log:           zerolog.Nop(),
		recordDeleted: make(chan struct{}, 1),
		members:       make(map[order.MemberID]Member),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Run registers the process, renews its lease and follows the list of members
// until the context ends. It then revokes the lease, which deletes the record.
func (m *Membership) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { m.followMembers(ctx) })
	m.keepRegistered(ctx)
	group.Wait()
	return nil
}

// Self returns the record of this process.
func (m *Membership) Self() Member { return m.self }

// Members returns all registered members, sorted by ID. While the store is not
// reachable it returns the last list.
func (m *Membership) Members() []Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	members := make([]Member, 0, len(m.members))
	for _, member := range m.members {
		members = append(members, member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].id < members[j].id })
	return members
}

// ListRead reports whether the list of members was read at least once.
func (m *Membership) ListRead() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.listRead
}

// StoreReachable reports whether the store responded within reachableWindow.
func (m *Membership) StoreReachable() bool {
	lastResponse := m.LastStoreReply()
	return !lastResponse.IsZero() && m.clock.Now().Sub(lastResponse) <= reachableWindow
}

// LastStoreReply returns the time of the last response of the store, or the
// zero time if there was none.
func (m *Membership) LastStoreReply() time.Time {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.lastResponse
}

// LeaseEnd returns the time until which the lease of the member record is
// guaranteed to be valid: its TTL, less a margin for clock drift, counted from
// when the last successful renewal was sent. It is the zero time if no lease
// was granted, the store ended it, or Run has returned.
func (m *Membership) LeaseEnd() time.Time {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.leaseEnd
}

// keepRegistered renews the lease until the context ends, and registers again
// if the lease ended or the record was deleted.
func (m *Membership) keepRegistered(ctx context.Context) {
	var lease storage.LeaseID
	defer func() { m.revokeLease(lease) }()
	for ctx.Err() == nil {
		next := renewInterval
		id, err := m.renewOrRegister(ctx, lease)
		lease = id
		if err != nil {
			next = retryDelay + rand.N(retryDelay)
			m.log.Warn().Err(err).Msg("roster: member record not renewed")
		}
		select {
		case <-ctx.Done():
		case <-m.recordDeleted:
			m.log.Warn().Msg("roster: member record was deleted; registering again")
			lease = 0
		case <-m.clock.After(next):
		}
	}
}

// renewOrRegister renews the lease, or writes the record under a new one if
// there is no lease or it has ended. It returns the lease of the record, or
// zero if there is none.
func (m *Membership) renewOrRegister(ctx context.Context, lease storage.LeaseID) (storage.LeaseID, error) {
	if lease == 0 {
		return m.writeRecord(ctx)
	}
	sent := m.clock.Now()
	err := m.callStore(ctx, func(ctx context.Context) error { return m.store.KeepAlive(ctx, lease) })
	switch {
	case errors.Is(err, storage.ErrLeaseEnded):
		m.setLeaseStart(time.Time{})
		return m.writeRecord(ctx)
	case err != nil:
		return lease, fmt.Errorf("renew lease: %w", err)
	}
	m.setLeaseStart(sent)
	return lease, nil
}

// writeRecord writes the record under a new lease. The key is read first
// because an earlier write whose response was lost may have stored the record.
func (m *Membership) writeRecord(ctx context.Context) (storage.LeaseID, error) {
	value, err := encodeMember(m.self)
	if err != nil {
		return 0, err
	}
	sent := m.clock.Now()
	var (
		lease storage.LeaseID
		entry storage.Entry
	)
	err = m.callStore(ctx, func(ctx context.Context) error {
		lease, err = m.store.Grant(ctx, MemberLeaseTTL)
		return err
	})
	if err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	err = m.callStore(ctx, func(ctx context.Context) error {
		entry, err = m.store.Get(ctx, memberKey(m.self.id))
		return err
	})
	if err != nil {
		return 0, fmt.Errorf("read member record: %w", err)
	}
	err = m.callStore(ctx, func(ctx context.Context) error {
		_, err = m.store.Swap(ctx, memberKey(m.self.id), entry.Version(), value, lease)
		return err
	})
	if err != nil {
		return 0, fmt.Errorf("write member record: %w", err)
	}
	m.setLeaseStart(sent)
	m.log.Info().Str("member", string(m.self.id)).Msg("roster: registered")
	return lease, nil
}

// revokeLease ends the lease on a planned stop, so that the other members need
// not wait for its expiry.
func (m *Membership) revokeLease(lease storage.LeaseID) {
	m.setLeaseStart(time.Time{})
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
	defer cancel()
	if err := m.store.Revoke(ctx, lease); err != nil {
		m.log.Warn().Err(err).Msg("roster: member lease not revoked")
	}
}

// followMembers lists the records and watches them for changes. It lists them
// again if the store has compacted the version from which it watches.
func (m *Membership) followMembers(ctx context.Context) {
	var (
		after    storage.Version
		listRead bool
	)
	for ctx.Err() == nil {
		var err error
		if !listRead {
			after, err = m.listMembers(ctx)
			listRead = err == nil
		} else {
			after, err = m.watchMembers(ctx, after)
			listRead = !errors.Is(err, storage.ErrCompacted)
		}
		if err != nil {
			m.sleep(ctx, retryDelay/2+rand.N(retryDelay/2))
		}
	}
}

func (m *Membership) listMembers(ctx context.Context) (storage.Version, error) {
	var (
		entries []storage.Entry
		version storage.Version
	)
	err := m.callStore(ctx, func(ctx context.Context) error {
		var err error
		entries, version, err = m.store.List(ctx, memberPrefix)
		return err
	})
	if err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members = make(map[order.MemberID]Member, len(entries))
	m.listRead = true
	for _, entry := range entries {
		m.addRecord(entry)
	}
	return version, nil
}

func (m *Membership) watchMembers(ctx context.Context, after storage.Version) (storage.Version, error) {
	var (
		events  []storage.Event
		version storage.Version
	)
	call, cancel := context.WithTimeout(ctx, watchWait+storeCallTimeout)
	defer cancel()
	events, version, err := m.store.Watch(call, memberPrefix, after, watchWait)
	m.recordResponse(err)
	if err != nil {
		return after, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, event := range events {
		if event.Deleted() {
			m.removeMember(order.MemberID(strings.TrimPrefix(event.Entry().Key(), memberPrefix)))
			continue
		}
		m.addRecord(event.Entry())
	}
	return version, nil
}

func (m *Membership) addRecord(entry storage.Entry) {
	member, err := decodeMember(entry.Value())
	if err != nil {
		m.log.Error().Err(err).Str("key", entry.Key()).Msg("roster: member record not decoded")
		return
	}
	m.members[member.id] = member
}

// removeMember triggers a new registration if the record is that of this
// process.
func (m *Membership) removeMember(id order.MemberID) {
	delete(m.members, id)
	if id != m.self.id {
		return
	}
	select {
	case m.recordDeleted <- struct{}{}:
	default:
	}
}

// callStore runs one call to the store with storeCallTimeout.
func (m *Membership) callStore(ctx context.Context, fn func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	err := fn(ctx)
	m.recordResponse(err)
	return err
}

// recordResponse updates the time of the last response. Errors that the store
// itself returned count as responses.
func (m *Membership) recordResponse(err error) {
	answered := err == nil ||
		errors.Is(err, storage.ErrConflict) ||
		errors.Is(err, storage.ErrLeaseEnded) ||
		errors.Is(err, storage.ErrCompacted)
	if !answered {
		return
	}
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.After(m.lastResponse) {
		m.lastResponse = now
	}
}

// setLeaseStart sets the end of the lease from the time its last renewal was
// sent. The zero time means that there is no lease.
func (m *Membership) setLeaseStart(sent time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaseEnd = sent
	if !sent.IsZero() {
		m.leaseEnd = sent.Add(MemberLeaseTTL - MemberLeaseTTL/clockDriftDivisor)
	}
}

func (m *Membership) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-m.clock.After(d):
	}
}

func memberKey(id order.MemberID) string { return memberPrefix + string(id) }

func encodeMember(m Member) ([]byte, error) {
	return json.Marshal(memberDocument{
		ID:     m.id,
		Role:   m.role.String(),
		Domain: m.domain,
		Admin:  m.admin,
	})
}

func decodeMember(value []byte) (Member, error) {
	var d memberDocument
	if err := json.Unmarshal(value, &d); err != nil {
		return Member{}, fmt.Errorf("decode member record: %w", err)
	}
	for _, role := range []order.Role{order.RoleGate, order.RolePlacer} {
		if role.String() == d.Role {
			return NewMember(d.ID, role, d.Domain, d.Admin), nil
		}
	}
	return Member{}, fmt.Errorf("decode member record: unknown role %q", d.Role)
}
