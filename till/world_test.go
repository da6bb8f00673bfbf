package till_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"chervilhollow/depot"
	"chervilhollow/gauge"
	"chervilhollow/logbook"
	"chervilhollow/order"
	"chervilhollow/sheet"
	"chervilhollow/tide"
	"chervilhollow/till"
)

const (
	testPartition = order.PartitionID("r/00")
	testTeam      = order.TeamName("toys")
	step          = 10 * time.Millisecond
	lease         = 10 * time.Second
	machineID     = order.MemberID("queue")
	placerID      = order.MemberID("placer")
)

type (
	failer interface{ Fatalf(string, ...any) }

	// world runs one request partition against fake gates and groups, a store
	// in memory and a network with faults.
	world struct {
		fail     func(string, ...any)
		rand     *rand.Rand
		clock    *tide.Manual
		store    *depot.Memory
		registry *gauge.Registry
		config   *sheet.Config

		epoch      order.Epoch
		machine    *till.Machine
		log        *logbook.Log
		recorder   func(*logbook.Log) till.Recorder
		op         *logbook.Op
		lateWrites []logbook.Op
		observe    time.Time

		network []packet
		delay   time.Duration
		loss    float64
		twice   float64

		groups map[order.GroupID]*fakeGroup
		names  []order.GroupID
		gates  map[order.MemberID]*fakeGate

		// starts counts the starts of each task, running the groups where it
		// runs, and refused the requests that were last answered "not run".
		starts      map[order.TaskID]int
		running     map[order.TaskID]order.GroupID
		since       map[logbook.Key]int
		refused     map[logbook.Key]order.Code
		sent        map[logbook.Key]order.Request
		noInventory bool
		history     []string
		owed        map[string]int
		paid        map[string]int
		// acceptOnly are the detached submissions, which get no outcome.
		acceptOnly map[string]bool
		sequence   uint64
	}

	packet struct {
		due   time.Time
		from  order.MemberID
		gate  order.MemberID
		group order.GroupID
		// epoch is that of the receiver when the message was sent. A link ends
		// at a process, so a later owner does not get the message.
		epoch order.Epoch
		msg   order.Msg
	}

	fakeGate struct {
		id       order.MemberID
		accepted map[order.RequestID]bool
		answers  map[uint64][]order.AnswerMsg
		finals   map[order.RequestID]order.AnswerMsg
	}

	fakeGroup struct {
		id         order.GroupID
		epoch      order.Epoch
		slots      int
		owned      bool
		bids       []order.BidMsg
		entries    map[order.TaskID]*fakeEntry
		settled    map[string]bool
		runTime    func(order.Task) (time.Duration, order.Code)
		refuse     bool
		checkpoint bool
		body       []byte
		short      bool
	}

	fakeEntry struct {
		task    order.Task
		attempt order.Attempt
		state   order.TaskState
		until   time.Time
		code    order.Code
		repost  time.Time
		outcome order.Outcome
	}
)

func newWorld(t failer, seed uint64, groups, slots int) *world {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &world{
		fail:     t.Fatalf,
		rand:     rand.New(rand.NewPCG(seed, 1)),
		clock:    tide.NewManual(start),
		registry: gauge.New(zerolog.Nop()),
		config:   sheet.NewConfig(1).WithTeam(sheet.NewTeam(testTeam, 1, 1000)),
		recorder: func(l *logbook.Log) till.Recorder { return l },
		delay:    5 * time.Millisecond,
		groups:   make(map[order.GroupID]*fakeGroup),
		gates:    make(map[order.MemberID]*fakeGate),
		starts:   make(map[order.TaskID]int),
		running:  make(map[order.TaskID]order.GroupID),
		since:    make(map[logbook.Key]int),
		refused:  make(map[logbook.Key]order.Code),
		sent:     make(map[logbook.Key]order.Request),
		owed:     make(map[string]int),
		paid:     make(map[string]int),

		acceptOnly: make(map[string]bool),
	}
	w.registry.SetStrict(true)
	w.store = depot.NewMemory(w.clock)
	for i := range groups {
		id := order.NewGroupID(order.DomainName(fmt.Sprintf("d%d", i%3)), fmt.Sprintf("r%02d", i))
		w.groups[id] = &fakeGroup{
			id: id, epoch: 1, slots: slots, owned: true,
			entries: make(map[order.TaskID]*fakeEntry),
			settled: make(map[string]bool),
			runTime: func(order.Task) (time.Duration, order.Code) { return 50 * time.Millisecond, order.Done },
		}
		w.names = append(w.names, id)
	}
	sort.Slice(w.names, func(i, j int) bool { return w.names[i] < w.names[j] })
	for i := range 3 {
		id := order.MemberID(fmt.Sprintf("gate%d", i))
		w.gates[id] = &fakeGate{
			id:       id,
			accepted: make(map[order.RequestID]bool),
			answers:  make(map[uint64][]order.AnswerMsg),
			finals:   make(map[order.RequestID]order.AnswerMsg),
		}
	}
	w.takeOver()
	return w
}

// note keeps what happens, for the output of failed runs.
func (w *world) note(format string, args ...any) {
	w.history = append(w.history, fmt.Sprintf("%s ", w.now().Format("05.000"))+fmt.Sprintf(format, args...))
}

// last returns the end of the history.
func (w *world) last(lines int) string {
	return strings.Join(w.history[max(0, len(w.history)-lines):], "\n")
}

// about returns the history of one request and of the owners.
func (w *world) about(id order.RequestID) string {
	var b strings.Builder
	for _, line := range w.history {
		if strings.Contains(line, string("/"+id+"/")) || strings.Contains(line, string(" "+id+" ")) ||
			strings.Contains(line, "owner") || strings.Contains(line, "vanishes") {
			b.WriteString(line + "\n")
		}
	}
	return b.String()
}

func (w *world) now() time.Time { return w.clock.Now() }

// takeOver replaces the owner of the partition by one that knows only the
// journal. A write of the former owner may still be on its way.
func (w *world) takeOver() {
	if w.op != nil {
		w.lateWrites = append(w.lateWrites, *w.op)
		w.op = nil
	}
	w.epoch++
	w.note("owner at epoch %d", w.epoch)
	for {
		if w.tryOpen() {
			break
		}
		w.clock.Advance(step)
	}
	w.machine = till.NewMachine(w.now(), testPartition, w.epoch, w.recorder(w.log), w.registry, w.log.Records(),
		till.WithSeed(w.rand.Uint64()))
	w.observe = w.now()
	for key := range w.owed {
		delete(w.owed, key)
		delete(w.paid, key)
	}
}

// tryOpen does what logbook.Open does, without its goroutine.
func (w *world) tryOpen() bool {
	entries, _, err := w.store.List(context.Background(), logbook.Prefix(testPartition))
	if err != nil {
		return false
	}
	log, err := logbook.NewLog(testPartition, w.epoch, fmt.Sprint("owner", w.epoch, w.rand.Uint64()), entries)
	if err != nil {
		w.fail("replay: %v", err)
	}
	op := log.Fence(w.now())
	log.Done(w.now(), op, logbook.Execute(context.Background(), w.store, op))
	w.log = log
	return log.Fenced()
}

func (w *world) run(d time.Duration) {
	for end := w.now().Add(d); w.now().Before(end); {
		w.tick()
	}
}

func (w *world) tick() {
	w.clock.Advance(step)
	w.deliver()
	w.pumpJournal()
	for _, id := range w.names {
		w.groups[id].tick(w)
	}
	if !w.now().Before(w.observe) {
		w.observe = w.now().Add(500 * time.Millisecond)
		w.execute(w.machine.Observe(w.now(), w.observation()))
	}
	if next := w.machine.Next(); !next.IsZero() && !next.After(w.now()) {
		w.execute(w.machine.Tick(w.now()))
	}
}

func (w *world) observation() till.Observation {
	var digests []order.GroupDigest
	for _, id := range w.names {
		if g := w.groups[id]; g.owned {
			digests = append(digests, g.digest())
		}
	}
	return till.NewObservation().
		WithConfig(w.config).
		WithGroups(w.names).
		WithDigests(digests).
		WithPlacers([]order.MemberID{placerID}).
		WithOwned(func(id order.GroupID) bool { return w.groups[id].owned })
}

// pumpJournal makes at most one call to the store a step, so that an owner can
// die between any two of them.
func (w *world) pumpJournal() {
	if w.op == nil {
		if op, ok := w.log.Next(w.now()); ok {
			w.op = &op
		}
		return
	}
	op := *w.op
	w.op = nil
	result := logbook.Execute(context.Background(), w.store, op)
	for _, c := range w.log.Done(w.now(), op, result) {
		w.execute(w.machine.Recorded(w.now(), c.Token(), c.Err()))
	}
}

// runLateWrites executes writes that a dead owner had sent.
func (w *world) runLateWrites() {
	for _, op := range w.lateWrites {
		logbook.Execute(context.Background(), w.store, op)
	}
	w.lateWrites = nil
}

func (w *world) transmit(p packet) {
	p.epoch = w.epochOf(p)
	copies := 1
	if w.rand.Float64() < w.twice {
		copies = 2
	}
	for range copies {
		if w.rand.Float64() < w.loss {
			continue
		}
		p.due = w.now().Add(time.Duration(w.rand.Int64N(int64(w.delay) + 1)))
		w.network = append(w.network, p)
	}
}

func (w *world) deliver() {
	var due []packet
	rest := w.network[:0]
	for _, p := range w.network {
		if p.due.After(w.now()) {
			rest = append(rest, p)
			continue
		}
		due = append(due, p)
	}
	w.network = append([]packet(nil), rest...)
	sort.SliceStable(due, func(i, j int) bool { return due[i].due.Before(due[j].due) })
	for _, p := range due {
		switch {
		case p.gate != "":
			w.gates[p.gate].receive(p.msg)
		case p.epoch != w.epochOf(p):
			w.bounce(p)
		case p.group != "":
			w.groups[p.group].receive(w, p.msg)
		default:
			w.toMachine(p.from, p.msg)
		}
	}
}

// epochOf returns the epoch of the receiver of a packet. Messages of groups
// are delivered to any owner of the request partition, however late.
func (w *world) epochOf(p packet) order.Epoch {
	switch {
	case p.gate != "" || p.from == placerID:
		return 0
	case p.group != "":
		return w.groups[p.group].epoch
	}
	return w.epoch
}

// bounce tells the sender that the group has another owner.
func (w *world) bounce(p packet) {
	reply := order.NotOwnerMsg{}.WithPartition(order.GroupPartition(p.group))
	switch m := p.msg.(type) {
	case order.BidMsg:
		reply = reply.WithTask(m.Task().ID())
	case order.ConfirmMsg:
		reply = reply.WithTask(m.Task())
	default:
		return
	}
	w.transmit(packet{from: placerID, msg: reply})
}

func (w *world) toMachine(from order.MemberID, msg order.Msg) {
	if m, ok := msg.(order.SubmitMsg); ok {
		key := logbook.Key{Team: m.Request().Team(), Request: m.Request().ID()}
		if w.refused[key] != order.Done {
			delete(w.refused, key)
			w.since[key] = 0
		}
	}
	if m, ok := msg.(order.SubmitMsg); ok && m.Request().Detached() {
		w.acceptOnly[fmt.Sprint(from, "#", m.Sequence())] = true
	}
	if sequence, ok := sequenceOf(msg); ok {
		w.owed[fmt.Sprint(from, "#", sequence)]++
	}
	w.note("receive from %s %s", from, describe(msg))
	w.execute(w.machine.Handle(w.now(), from, msg))
}

func describe(msg order.Msg) string {
	switch m := msg.(type) {
	case order.BidMsg:
		return fmt.Sprintf("bid %s %x", m.Task().ID(), m.Attempt())
	case order.OfferMsg:
		return fmt.Sprintf("offer %s %x %s", m.Task(), m.Attempt(), m.Group())
	case order.ConfirmMsg:
		return fmt.Sprintf("confirm %s %x", m.Task(), m.Attempt())
	case order.WithdrawMsg:
		return fmt.Sprintf("withdraw %s %x", m.Task(), m.Attempt())
	case order.DeclineMsg:
		return fmt.Sprintf("decline %s %x", m.Task(), m.Attempt())
	case order.StopMsg:
		return fmt.Sprintf("stop %s %x", m.Task(), m.Attempt())
	case order.StartedMsg:
		return fmt.Sprintf("started %s %x %s", m.Task(), m.Attempt(), m.Group())
	case order.EndedMsg:
		return fmt.Sprintf("ended %s %x %s %s not started %t", m.Outcome().Task(), m.Outcome().Attempt(), m.Group(), m.Outcome().Code(), m.NotStarted())
	case order.EndedAckMsg:
		return fmt.Sprintf("ended ack %s %x", m.Task(), m.Attempt())
	case order.InventoryReplyMsg:
		text := fmt.Sprintf("inventory of %v:", m.Groups())
		for _, e := range m.Entries() {
			text += fmt.Sprintf(" %s %x %s state %d;", e.Task().ID(), e.Attempt(), e.Group(), e.State())
		}
		return text
	case order.SubmitMsg:
		return fmt.Sprintf("submit %s  fresh %t", m.Request().ID(), m.Request().Fresh())
	}
	return fmt.Sprintf("%T", msg)
}

func sequenceOf(msg order.Msg) (uint64, bool) {
	switch m := msg.(type) {
	case order.SubmitMsg:
		return m.Sequence(), true
	case order.StatusMsg:
		return m.Sequence(), true
	case order.CancelMsg:
		return m.Sequence(), true
	}
	return 0, false
}

func (w *world) execute(commands []till.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case till.PostCmd:
			w.note("post %s %s", c.Group(), describe(c.Msg()))
			w.transmit(packet{group: c.Group(), msg: c.Msg()})
		case till.SendCmd:
			w.sendFromMachine(c)
		}
	}
}

func (w *world) sendFromMachine(c till.SendCmd) {
	if m, ok := c.Msg().(order.InventoryMsg); ok {
		w.answerInventory(m)
		return
	}
	if a, ok := c.Msg().(order.AnswerMsg); ok && a.Final() {
		w.note("answer %s to %s: %s", a.Request(), c.To(), a.Code())
		w.checkAnswer(c.To(), a)
	}
	w.transmit(packet{gate: c.To(), msg: c.Msg()})
}

// checkAnswer compares a final answer with what really happened.
func (w *world) checkAnswer(gate order.MemberID, a order.AnswerMsg) {
	key := logbook.Key{Team: a.Team(), Request: a.Request()}
	paid := fmt.Sprint(gate, "#", a.Sequence())
	w.paid[paid]++
	if w.paid[paid] > w.owed[paid] {
		w.fail("gate %s got %d final answers to %d calls with sequence %d", gate, w.paid[paid], w.owed[paid], a.Sequence())
	}
	if a.Length() != len(a.Body()) || (len(a.Body()) > 0 && a.Checksum() != xxhash.Sum64(a.Body())) {
		w.fail("answer of %s has a wrong length or checksum", a.Request())
	}
	switch a.Code() {
	case order.IDReused, order.UnknownRequest:
		return
	}
	switch a.Code().Run() {
	case order.RunNo:
		if w.since[key] > 0 {
			w.fail("%s is answered %s but started %d times\n%s", a.Request(), a.Code(), w.since[key], w.about(a.Request()))
		}
		w.refused[key] = a.Code()
	case order.RunYes:
		if w.since[key] == 0 {
			w.fail("%s is answered %s but never started\n%s", a.Request(), a.Code(), w.about(a.Request()))
		}
	}
}

func (w *world) answerInventory(m order.InventoryMsg) {
	if !w.noInventory {
		w.transmit(packet{from: placerID, msg: w.inventoryReply(m)})
	}
}

func (w *world) inventoryReply(m order.InventoryMsg) order.InventoryReplyMsg {
	reply := order.InventoryReplyMsg{}.WithPartition(m.Partition()).WithEpoch(m.Epoch())
	var (
		groups  []order.GroupID
		entries []order.InventoryEntry
	)
	for _, id := range w.names {
		g := w.groups[id]
		if !g.owned {
			continue
		}
		groups = append(groups, id)
		entries = append(entries, g.inventory()...)
	}
	return reply.WithGroups(groups).WithEntries(entries)
}

func (w *world) nextSequence() uint64 {
	w.sequence++
	return w.sequence
}

func (w *world) submit(gate order.MemberID, r order.Request) uint64 {
	sequence := w.nextSequence()
	w.sent[logbook.Key{Team: r.Team(), Request: r.ID()}] = r
	w.transmit(packet{from: gate, msg: order.SubmitMsg{}.WithPartition(testPartition).WithRequest(r).WithSequence(sequence)})
	return sequence
}

func (w *world) cancel(gate order.MemberID, id order.RequestID) uint64 {
	sequence := w.nextSequence()
	w.transmit(packet{from: gate, msg: order.CancelMsg{}.WithPartition(testPartition).WithTeam(testTeam).WithRequest(id).WithSequence(sequence)})
	return sequence
}

func (w *world) follow(gate order.MemberID, id order.RequestID) uint64 {
	sequence := w.nextSequence()
	w.transmit(packet{from: gate, msg: order.StatusMsg{}.WithPartition(testPartition).WithTeam(testTeam).WithRequest(id).WithFollow(true).WithSequence(sequence)})
	return sequence
}

func (g *fakeGate) receive(msg order.Msg) {
	switch m := msg.(type) {
	case order.AcceptedMsg:
		g.accepted[m.Request()] = true
	case order.AnswerMsg:
		g.answers[m.Sequence()] = append(g.answers[m.Sequence()], m)
		if m.Final() {
			g.finals[m.Request()] = m
		}
	}
}

// final returns the final answer to a call.
func (g *fakeGate) final(sequence uint64) (order.AnswerMsg, bool) {
	for _, a := range g.answers[sequence] {
		if a.Final() {
			return a, true
		}
	}
	return order.AnswerMsg{}, false
}
