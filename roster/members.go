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

	"chervilhollow/depot"
	"chervilhollow/order"
	"chervilhollow/tide"
)

type (
	// Members keeps the record of this process in the store under a lease and
	// the list of all members.
	Members struct {
		self  Member
		store depot.Store
		clock tide.Clock
		log   zerolog.Logger

		lost chan struct{}

		mu         sync.RWMutex
		members    map[order.MemberID]Member
		listed     bool
		seen       time.Time
		leaseUntil time.Time
	}

	// MembersOption changes a Members when it is made.
	MembersOption func(*Members)

	memberDocument struct {
		ID     order.MemberID   `json:"id"`
		Role   string           `json:"role"`
		Domain order.DomainName `json:"domain"`
		Admin  string           `json:"admin"`
	}
)

const (
	// MemberLease is the lease of a member record.
	MemberLease = 10 * time.Second

	memberPrefix    = "member/"
	memberRenewal   = 3 * time.Second
	memberRetry     = 500 * time.Millisecond
	storeCall       = time.Second
	leaseDriftParts = 50

	// The watch returns at least twice a second, so that a lost store is
	// noticed within storeSilence even when no error arrives. Both calls of a
	// store that takes a whole second to answer fit into storeSilence.
	memberWatch  = 500 * time.Millisecond
	storeSilence = 1500 * time.Millisecond
)

// WithMembersLog sets the log.
func WithMembersLog(log zerolog.Logger) MembersOption {
	return func(m *Members) { m.log = log }
}

// NewMembers returns the membership of the process.
func NewMembers(self Member, store depot.Store, clock tide.Clock, opts ...MembersOption) *Members {
	m := &Members{
		self:    self,
		store:   store,
		clock:   clock,
		log:     zerolog.Nop(),
		lost:    make(chan struct{}, 1),
		members: make(map[order.MemberID]Member),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Run registers the process, renews its lease and follows the members until
// the context ends. It then withdraws the record.
func (m *Members) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { m.follow(ctx) })
	m.register(ctx)
	group.Wait()
	return nil
}

// Self returns the member of this process.
func (m *Members) Self() Member { return m.self }

// Members returns all registered members in order of identifier. While the
// store is not reachable it returns the last list.
func (m *Members) Members() []Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	members := make([]Member, 0, len(m.members))
	for _, member := range m.members {
		members = append(members, member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].id < members[j].id })
	return members
}

// Listed reports whether the list of members was read at least once.
func (m *Members) Listed() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.listed
}

// StoreReachable reports whether the store answered lately.
func (m *Members) StoreReachable() bool {
	seen := m.StoreSeen()
	return !seen.IsZero() && m.clock.Now().Sub(seen) <= storeSilence
}

// StoreSeen returns when the store last answered; zero means never.
func (m *Members) StoreSeen() time.Time {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.seen
}

// LeaseUntil returns until when the lease of the member record is certain to
// hold, counted from the moment the last renewal was sent and shortened by a
// margin for clock drift.
func (m *Members) LeaseUntil() time.Time {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.leaseUntil
}

// register keeps the record under a lease.
func (m *Members) register(ctx context.Context) {
	var lease depot.LeaseID
	defer func() { m.withdraw(lease) }()
	for ctx.Err() == nil {
		next := memberRenewal
		id, err := m.hold(ctx, lease)
		lease = id
		if err != nil {
			next = memberRetry + rand.N(memberRetry)
			m.log.Warn().Err(err).Msg("roster: member record not renewed")
		}
		select {
		case <-ctx.Done():
		case <-m.lost:
			m.log.Warn().Msg("roster: member record was deleted, registering again")
			lease = 0
		case <-m.clock.After(next):
		}
	}
}

// hold renews the lease, or makes a new one with the record. It returns the
// lease that now holds the record, zero if none does.
func (m *Members) hold(ctx context.Context, lease depot.LeaseID) (depot.LeaseID, error) {
	if lease == 0 {
		return m.enter(ctx)
	}
	sent := m.clock.Now()
	err := m.call(ctx, func(ctx context.Context) error { return m.store.KeepAlive(ctx, lease) })
	switch {
	case errors.Is(err, depot.ErrLeaseEnded):
		m.confirm(time.Time{})
		return m.enter(ctx)
	case err != nil:
		return lease, fmt.Errorf("renew lease: %w", err)
	}
	m.confirm(sent)
	return lease, nil
}

// enter writes the record under a new lease. The key is read first because an
// earlier write whose answer was lost may have left the record.
func (m *Members) enter(ctx context.Context) (depot.LeaseID, error) {
	value, err := encodeMember(m.self)
	if err != nil {
		return 0, err
	}
	sent := m.clock.Now()
	var (
		lease depot.LeaseID
		entry depot.Entry
	)
	err = m.call(ctx, func(ctx context.Context) error {
		lease, err = m.store.Grant(ctx, MemberLease)
		return err
	})
	if err != nil {
		return 0, fmt.Errorf("grant lease: %w", err)
	}
	err = m.call(ctx, func(ctx context.Context) error {
		entry, err = m.store.Get(ctx, memberKey(m.self.id))
		return err
	})
	if err != nil {
		return 0, fmt.Errorf("read member record: %w", err)
	}
	err = m.call(ctx, func(ctx context.Context) error {
		_, err = m.store.Swap(ctx, memberKey(m.self.id), entry.Version(), value, lease)
		return err
	})
	if err != nil {
		return 0, fmt.Errorf("write member record: %w", err)
	}
	m.confirm(sent)
	m.log.Info().Str("member", string(m.self.id)).Msg("roster: registered")
	return lease, nil
}

// withdraw ends the lease on a planned stop, so that others need not wait for
// its expiry.
func (m *Members) withdraw(lease depot.LeaseID) {
	m.confirm(time.Time{})
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeCall)
	defer cancel()
	if err := m.store.Revoke(ctx, lease); err != nil {
		m.log.Warn().Err(err).Msg("roster: member record not withdrawn")
	}
}

// follow keeps the list of members.
func (m *Members) follow(ctx context.Context) {
	var (
		after  depot.Version
		listed bool
	)
	for ctx.Err() == nil {
		var err error
		if !listed {
			after, err = m.list(ctx)
			listed = err == nil
		} else {
			after, err = m.watch(ctx, after)
			listed = !errors.Is(err, depot.ErrCompacted)
		}
		if err != nil {
			m.wait(ctx, memberRetry/2+rand.N(memberRetry/2))
		}
	}
}

func (m *Members) list(ctx context.Context) (depot.Version, error) {
	var (
		entries []depot.Entry
		version depot.Version
	)
	err := m.call(ctx, func(ctx context.Context) error {
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
	m.listed = true
	for _, entry := range entries {
		m.apply(entry)
	}
	return version, nil
}

func (m *Members) watch(ctx context.Context, after depot.Version) (depot.Version, error) {
	var (
		events  []depot.Event
		version depot.Version
	)
	call, cancel := context.WithTimeout(ctx, memberWatch+storeCall)
	defer cancel()
	events, version, err := m.store.Watch(call, memberPrefix, after, memberWatch)
	m.observe(err)
	if err != nil {
		return after, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, event := range events {
		if event.Deleted() {
			m.remove(order.MemberID(strings.TrimPrefix(event.Entry().Key(), memberPrefix)))
			continue
		}
		m.apply(event.Entry())
	}
	return version, nil
}

func (m *Members) apply(entry depot.Entry) {
	member, err := decodeMember(entry.Value())
	if err != nil {
		m.log.Error().Err(err).Str("key", entry.Key()).Msg("roster: member record unreadable")
		return
	}
	m.members[member.id] = member
}

func (m *Members) remove(id order.MemberID) {
	delete(m.members, id)
	if id != m.self.id {
		return
	}
	select {
	case m.lost <- struct{}{}:
	default:
	}
}

// call runs one call to the store under the call timeout.
func (m *Members) call(ctx context.Context, do func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, storeCall)
	defer cancel()
	err := do(ctx)
	m.observe(err)
	return err
}

// observe notes that the store answered, which a refusal also shows.
func (m *Members) observe(err error) {
	answered := err == nil ||
		errors.Is(err, depot.ErrConflict) ||
		errors.Is(err, depot.ErrLeaseEnded) ||
		errors.Is(err, depot.ErrCompacted)
	if !answered {
		return
	}
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.After(m.seen) {
		m.seen = now
	}
}

func (m *Members) confirm(sent time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaseUntil = sent
	if !sent.IsZero() {
		m.leaseUntil = sent.Add(MemberLease - MemberLease/leaseDriftParts)
	}
}

func (m *Members) wait(ctx context.Context, d time.Duration) {
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
		return Member{}, fmt.Errorf("read member record: %w", err)
	}
	for _, role := range []order.Role{order.RoleGate, order.RolePlacer} {
		if role.String() == d.Role {
			return NewMember(d.ID, role, d.Domain, d.Admin), nil
		}
	}
	return Member{}, fmt.Errorf("read member record: unknown role %q", d.Role)
}
