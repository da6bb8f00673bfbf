package quota_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/quota"
	"chervilhollow/sheet"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

const team = order.TeamName("toys")

type (
	// cell runs one machine with fake groups that use what they are
	// allotted, a network that delays and loses messages, and a store that
	// can fail.
	cell struct {
		fail          func(string, ...any)
		rand          *rand.Rand
		clock         *timers.Manual
		store         *storage.Memory
		machine       *quota.Machine
		config        *sheet.Config
		groups        map[order.GroupID]*fakeGroup
		packets       []packet
		pending       []quota.Command
		loss          float64
		delay         time.Duration
		nextObserve   time.Time
		maxLimit      int
		delayedWrites []quota.Command
		// unreachable is a group that receives no messages.
		unreachable order.GroupID
		outage      bool
		sorted      []order.GroupID
	}

	fakeGroup struct {
		id      order.GroupID
		epoch   order.Epoch
		owned   bool
		listed  bool
		count   int
		version uint64
		limit   int
		running int
		waiting int
	}

	packet struct {
		due   time.Time
		group order.GroupID
		epoch order.Epoch
		allot order.AllotMsg
		ack   *order.AllotAckMsg
	}

	storedRecord struct {
		Limit   int                   `json:"limit"`
		Version uint64                `json:"version"`
		Groups  map[order.GroupID]int `json:"groups"`
	}
)

func newCell(t interface{ Fatalf(string, ...any) }, seed uint64, groups, limit int) *cell {
	c := &cell{
		fail:   t.Fatalf,
		rand:   rand.New(rand.NewPCG(seed, 2)),
		clock:  timers.NewManual(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)),
		config: sheet.NewConfig(1).WithTeam(sheet.NewTeam(team, 1, limit)),
		groups: make(map[order.GroupID]*fakeGroup),
		delay:  5 * time.Millisecond,
	}
	c.store = storage.NewMemory(c.clock)
	for i := range groups {
		id := order.NewGroupID(order.DomainName(fmt.Sprintf("d%d", i%3)), fmt.Sprintf("r%02d", i))
		c.groups[id] = &fakeGroup{id: id, epoch: 1, owned: true, listed: true}
	}
	c.newMachine()
	return c
}

func (c *cell) newMachine() {
	registry := gauge.New(zerolog.Nop())
	registry.SetStrict(true)
	c.machine = quota.NewMachine(order.QuotaPartition(team), registry)
	c.pending = nil
	c.nextObserve = c.clock.Now()
}

func (c *cell) names() []order.GroupID {
	if len(c.sorted) != len(c.groups) {
		c.sorted = c.sorted[:0]
		for id := range c.groups {
			c.sorted = append(c.sorted, id)
		}
		sort.Slice(c.sorted, func(i, j int) bool { return c.sorted[i] < c.sorted[j] })
	}
	return c.sorted
}

func (c *cell) stored() (storedRecord, storage.Entry) {
	var r storedRecord
	c.store.SetOutage(false)
	entry, err := c.store.Get(context.Background(), quota.RecordKey(team))
	c.store.SetOutage(c.outage)
	if err != nil {
		c.fail("read: %v", err)
	}
	if entry.Exists() {
		if err := json.Unmarshal(entry.Value(), &r); err != nil {
			c.fail("record: %v", err)
		}
	}
	return r, entry
}

func (c *cell) run(d time.Duration) {
	for end := c.clock.Now().Add(d); c.clock.Now().Before(end); {
		c.tick()
	}
}

func (c *cell) tick() {
	c.clock.Advance(20 * time.Millisecond)
	now := c.clock.Now()
	var due []packet
	rest := c.packets[:0]
	for _, p := range c.packets {
		if p.due.After(now) {
			rest = append(rest, p)
			continue
		}
		due = append(due, p)
	}
	c.packets = append([]packet(nil), rest...)
	for _, p := range due {
		c.deliver(p)
	}
	c.callStore()
	if !now.Before(c.nextObserve) {
		c.nextObserve = now.Add(500 * time.Millisecond)
		c.execute(c.machine.Observe(now, c.observation()))
	}
	if now.UnixMilli()%100 == 0 {
		c.execute(c.machine.Tick(now))
	}
	for _, id := range c.names() {
		c.groups[id].startWaiting(c.config)
	}
}

// startWaiting starts waiting tasks within the allotment. If the configured
// limit is below the one that was divided, the allotment is reduced in
// proportion.
func (g *fakeGroup) startWaiting(config *sheet.Config) {
	if !g.owned {
		return
	}
	allowed := g.count
	if t, _ := config.Team(team); t.Limit() < g.limit {
		allowed = g.count * t.Limit() / g.limit
	}
	if n := min(g.waiting, allowed-g.running); n > 0 {
		g.running += n
		g.waiting -= n
	}
}

func (c *cell) deliver(p packet) {
	if p.ack != nil {
		c.execute(c.machine.HandleAck(c.clock.Now(), *p.ack))
		return
	}
	g, ok := c.groups[p.group]
	if !ok || !g.owned || g.epoch != p.epoch || g.id == c.unreachable {
		return
	}
	if p.allot.Version() >= g.version {
		g.count, g.version, g.limit = p.allot.Count(), p.allot.Version(), p.allot.Limit()
	}
	ack := order.AllotAckMsg{}.
		WithTeam(team).
		WithGroup(g.id).
		WithCount(max(g.count, g.running)).
		WithVersion(g.version).
		WithRunning(g.running).
		WithWaiting(g.waiting)
	c.transmit(packet{ack: &ack})
}

func (c *cell) transmit(p packet) {
	if c.rand.Float64() < c.loss {
		return
	}
	p.due = c.clock.Now().Add(time.Duration(c.rand.Int64N(int64(c.delay) + 1)))
	c.packets = append(c.packets, p)
}

func (c *cell) execute(commands []quota.Command) {
	for _, cmd := range commands {
		post, ok := cmd.(quota.PostCmd)
		if !ok {
			c.pending = append(c.pending, cmd)
			continue
		}
		g, ok := c.groups[post.Group()]
		if ok {
			c.transmit(packet{group: g.id, epoch: g.epoch, allot: post.Msg()})
		}
	}
}

func (c *cell) callStore() {
	if len(c.pending) == 0 {
		return
	}
	cmd := c.pending[0]
	c.pending = c.pending[1:]
	now := c.clock.Now()
	switch cmd := cmd.(type) {
	case quota.ReadCmd:
		entry, err := c.store.Get(context.Background(), quota.RecordKey(team))
		c.execute(c.machine.HandleRead(now, cmd.Team(), entry, err))
	case quota.WriteCmd:
		version, err := c.store.Swap(context.Background(), quota.RecordKey(team), cmd.Expected(), cmd.Value(), 0)
		c.execute(c.machine.HandleWritten(now, cmd.Team(), version, err))
	}
}

func (c *cell) observation() quota.Observation {
	var (
		listed  []order.GroupID
		digests []order.GroupDigest
	)
	for _, id := range c.names() {
		g := c.groups[id]
		if g.listed {
			listed = append(listed, id)
		}
		if !g.owned {
			continue
		}
		digests = append(digests, order.GroupDigest{}.
			WithGroup(id).
			WithDomain(id.Domain()).
			WithEpoch(g.epoch).
			WithSlots(64).
			WithFreeSlots(max(0, 64-g.running)).
			WithWorkers(8).
			WithRunning(map[order.TeamName]int{team: g.running}).
			WithWaiting(map[order.TeamName]int{team: g.waiting}).
			WithAllotted(map[order.TeamName]int{team: g.count}))
	}
	return quota.NewObservation(c.config, listed, digests, func(id order.GroupID) bool {
		g, ok := c.groups[id]
		return ok && g.owned
	})
}

// moveGroup gives a group a new owner, which reads the record.
func (c *cell) moveGroup(g *fakeGroup) {
	r, _ := c.stored()
	g.epoch++
	g.owned = true
	g.count, g.version, g.limit = r.Groups[g.id], r.Version, r.Limit
}

func (r storedRecord) sum() int {
	sum := 0
	for _, n := range r.Groups {
		sum += n
	}
	return sum
}

func (c *cell) running() int {
	n := 0
	for _, g := range c.groups {
		n += g.running
	}
	return n
}

// Guards against a team that gets no allotment, or allotments above its limit.
func TestFirstDivision(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 1, 6, 20)
	c.run(2 * time.Second)
	r, _ := c.stored()
	is.Equal(r.Limit, 20)
	is.Equal(r.sum(), 20)
	in := 0
	for _, g := range c.groups {
		in += g.count
		is.True(g.count >= 3) // spread evenly
	}
	is.Equal(in, 20)
}

// Guards against an allotment that stays in a group that does not need it,
// while the team waits in another group although it is below its limit.
func TestRedivisionFollowsDemand(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 1, 6, 20)
	c.run(2 * time.Second)
	busy := c.groups["d0/r00"]
	busy.waiting = 30
	c.run(10 * time.Second)
	is.Equal(busy.running, 20)
	is.Equal(c.running(), 20)
	busy.running, busy.waiting = 0, 0
	other := c.groups["d1/r01"]
	other.waiting = 12
	c.run(10 * time.Second)
	is.Equal(other.running, 12)
}

// Guards against allotments that do not follow a lowered or raised limit.
func TestLimitChanges(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 1, 6, 20)
	for _, g := range c.groups {
		g.waiting = 10
	}
	c.run(5 * time.Second)
	is.Equal(c.running(), 20)
	c.config = c.config.WithTeam(sheet.NewTeam(team, 1, 8))
	c.run(5 * time.Second)
	r, _ := c.stored()
	is.Equal(r.sum(), 20) // what runs stays recorded
	for _, g := range c.groups {
		g.running = min(g.running, 1)
	}
	c.run(5 * time.Second)
	r, _ = c.stored()
	is.Equal(r.sum(), 8)
	is.Equal(r.Limit, 8)
	c.config = c.config.WithTeam(sheet.NewTeam(team, 1, 40))
	c.run(5 * time.Second)
	is.Equal(c.running(), 40)
}

// Guards against an allotment that stays with a removed group, and against a
// new group that gets none.
func TestRemovedAndAddedGroups(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 1, 2, 20)
	c.run(3 * time.Second)
	for _, g := range c.groups {
		g.owned, g.listed = false, false
	}
	id := order.GroupID("d2/new")
	c.groups[id] = &fakeGroup{id: id, epoch: 1, owned: true, listed: true, waiting: 20}
	c.run(8 * time.Second)
	is.Equal(c.groups[id].running, 0) // tasks may run until their leases end
	c.run(10 * time.Second)
	is.Equal(c.groups[id].running, 20)
}

func (c *cell) group(t *rapid.T) *fakeGroup {
	return c.groups[rapid.SampledFrom(c.names()).Draw(t, "group")]
}

func (c *cell) setLimit(limit int) {
	c.maxLimit = max(c.maxLimit, limit)
	c.config = c.config.WithTeam(sheet.NewTeam(team, 1, limit))
}

// replaceMachine replaces the machine as a change of owner does. A write of the
// former owner may still reach the store later.
func (c *cell) replaceMachine(*rapid.T) {
	c.delayedWrites = append(c.delayedWrites, c.pending...)
	c.newMachine()
}

// applyDelayedWrites runs the writes of former owners that are still open.
func (c *cell) applyDelayedWrites(*rapid.T) {
	for _, cmd := range c.delayedWrites {
		if w, ok := cmd.(quota.WriteCmd); ok {
			_, _ = c.store.Swap(context.Background(), quota.RecordKey(team), w.Expected(), w.Value(), 0)
		}
	}
	c.delayedWrites = nil
}

func (c *cell) check(t *rapid.T) {
	r, _ := c.stored()
	if r.sum() > r.Limit {
		t.Fatalf("recorded %d of %d", r.sum(), r.Limit)
	}
	if c.running() > c.maxLimit {
		t.Fatalf("%d run, the largest limit was %d", c.running(), c.maxLimit)
	}
}

func (c *cell) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"run": func(t *rapid.T) {
			c.run(time.Duration(rapid.IntRange(1, 300).Draw(t, "steps")) * 10 * time.Millisecond)
		},
		"wait": func(t *rapid.T) { c.group(t).waiting += rapid.IntRange(1, 20).Draw(t, "waiting") },
		"end": func(t *rapid.T) {
			g := c.group(t)
			g.running -= rapid.IntRange(0, g.running).Draw(t, "ended")
		},
		"network": func(t *rapid.T) {
			c.loss = rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(t, "loss")
			c.delay = rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, 3 * time.Second}).Draw(t, "delay")
		},
		"outage": func(t *rapid.T) {
			c.outage = rapid.Bool().Draw(t, "outage")
			c.store.SetOutage(c.outage)
		},
		"lose":       func(*rapid.T) { c.store.LoseAnswers(2) },
		"move":       func(t *rapid.T) { c.moveGroup(c.group(t)) },
		"owner":      c.replaceMachine,
		"late write": c.applyDelayedWrites,
		"limit":      func(t *rapid.T) { c.setLimit(rapid.IntRange(0, 40).Draw(t, "limit")) },
		"":           c.check,
	}
}

// Guards against a sum of allotments, recorded or in use, above the limit, and
// against division that stops permanently. The faults are lost and delayed
// messages, store outages, lost store answers, changes of owner on both sides,
// and changed limits.
func TestRandomDivision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCell(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 6).Draw(t, "groups"), 20)
		c.maxLimit = 20
		t.Repeat(c.actions())
		c.loss, c.delay = 0, time.Millisecond
		c.outage = false
		c.store.SetOutage(false)
		c.store.LoseAnswers(0)
		c.setLimit(c.maxLimit)
		for _, g := range c.groups {
			g.waiting = c.maxLimit
		}
		c.run(20 * time.Second)
		if c.running() != c.maxLimit {
			t.Fatalf("%d run of %d in the end\n%s", c.running(), c.maxLimit, c.machine.Dump())
		}
	})
}

// Guards against an increase based on a decrease that a new owner of the
// decreased group does not have, because it read the record before the decrease
// was written.
func TestIncreaseWaitsForNewOwner(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 1, 2, 20)
	c.run(3 * time.Second)
	from, to := c.groups["d0/r00"], c.groups["d1/r01"]
	to.waiting = 20
	for before, _ := c.stored(); ; {
		r, _ := c.stored()
		if from.version > before.Version && r.Version == before.Version {
			break // acknowledged, not yet written
		}
		c.tick()
	}
	from.epoch++ // a new owner that read the record before the decrease
	from.count, from.version = 10, from.version-1
	c.unreachable = from.id
	c.run(3 * time.Second)
	from.waiting = 20
	c.run(3 * time.Second)
	is.True(c.running() <= 20)
	c.unreachable = ""
	c.run(5 * time.Second)
	is.Equal(c.running(), 20)
}

// Guards against counting a group's use above its record twice, so that the
// recorded count grows by only one per second.
func TestUseAboveRecordIsRecorded(t *testing.T) {
	is := is.New(t)
	c := newCell(t, 2, 1, 20)
	c.run(130 * time.Millisecond)
	c.setLimit(0)
	c.delay = time.Second
	c.run(2050 * time.Millisecond)
	c.setLimit(21)
	g := c.groups["d0/r00"]
	c.moveGroup(g)
	c.delay = time.Millisecond
	g.waiting = 21
	c.run(6 * time.Second)
	is.Equal(g.running, 21)
}
