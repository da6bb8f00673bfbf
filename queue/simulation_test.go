package queue_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/logbook"
	"chervilhollow/order"
	"chervilhollow/queue"
	"chervilhollow/sheet"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

const (
	testPartition = order.PartitionID("r/00")
	testTeam      = order.TeamName("toys")
	stepLength    = 10 * time.Millisecond
	lease         = 10 * time.Second
	machineID     = order.MemberID("queue")
	placerID      = order.MemberID("placer")
)

type (
	fataler interface{ Fatalf(string, ...any) }

	// simulation runs the Machine of one partition against fake gates and
	// groups, an in-memory store, and a network that loses, delays and
	// duplicates messages.
	simulation struct {
		fail     func(string, ...any)
		rand     *rand.Rand
		clock    *timers.Manual
		store    *storage.Memory
		registry *gauge.Registry
		config   *sheet.Config

		epoch   order.Epoch
		machine *queue.Machine
		log     *logbook.Log
		wrapLog func(*logbook.Log) queue.Recorder
		// storeCall is the call to the store that stepJournal finishes next,
		// and lateWrites are the calls that replaced owners left unfinished.
		storeCall   *logbook.Op
		lateWrites  []logbook.Op
		nextObserve time.Time

		network []packet
		// maxDelay bounds the random delay of a message. lossRate and
		// duplicateRate are probabilities per message.
		maxDelay      time.Duration
		lossRate      float64
		duplicateRate float64

		groups   map[order.GroupID]*fakeGroup
		groupIDs []order.GroupID
		gates    map[order.MemberID]*fakeGate

		// startCounts is the number of starts of each task, and running the
		// group that it runs in. startsSinceSubmit counts the starts of a
		// request since it was last submitted after a refusal, and refused
		// holds the requests whose last answer was "not run".
		startCounts       map[order.TaskID]int
		running           map[order.TaskID]order.GroupID
		startsSinceSubmit map[logbook.Key]int
		refused           map[logbook.Key]order.Code
		submitted         map[logbook.Key]order.Request
		// noInventory drops the inventory requests.
		noInventory bool
		history     []string
		// callsReceived counts the calls that the current owner received, and
		// finalsSent its final answers, by gate and sequence.
		callsReceived map[string]int
		finalsSent    map[string]int
		// acceptOnly are the calls that submit detached requests, which get no
		// outcome.
		acceptOnly map[string]bool
		sequence   uint64
	}

	packet struct {
		due   time.Time
		from  order.MemberID
		gate  order.MemberID
		group order.GroupID
		// epoch is the receiver's epoch when the message was sent. A link ends
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
		id    order.GroupID
		epoch order.Epoch
		slots int
		// owned is false while the group has no owner; it receives and sends
		// nothing then.
		owned   bool
		bids    []order.BidMsg
		entries map[order.TaskID]*fakeEntry
		// closedAttempts are the attempts that ended or were released. The
		// value is true if the attempt never started.
		closedAttempts  map[string]bool
		runTime         func(order.Task) (time.Duration, order.Code)
		refuseBids      bool
		checkpointTasks bool
		resultBody      []byte
		truncate        bool
	}

	fakeEntry struct {
		task      order.Task
		attempt   order.Attempt
		state     order.TaskState
		expiresAt time.Time
		code      order.Code
		resendAt  time.Time
		outcome   order.Outcome
	}
)

func newSimulation(t fataler, seed uint64, groups, slots int) *simulation {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	sim := &simulation{
		fail:              t.Fatalf,
		rand:              rand.New(rand.NewPCG(seed, 1)),
		clock:             timers.NewManual(start),
		registry:          gauge.New(zerolog.Nop()),
		config:            sheet.NewConfig(1).WithTeam(sheet.NewTeam(testTeam, 1, 1000)),
		wrapLog:           func(l *logbook.Log) queue.Recorder { return l },
		maxDelay:          5 * time.Millisecond,
		groups:            make(map[order.GroupID]*fakeGroup),
		gates:             make(map[order.MemberID]*fakeGate),
		startCounts:       make(map[order.TaskID]int),
		running:           make(map[order.TaskID]order.GroupID),
		startsSinceSubmit: make(map[logbook.Key]int),
		refused:           make(map[logbook.Key]order.Code),
		submitted:         make(map[logbook.Key]order.Request),
		callsReceived:     make(map[string]int),
		finalsSent:        make(map[string]int),

		acceptOnly: make(map[string]bool),
	}
	sim.registry.SetStrict(true)
	sim.store = storage.NewMemory(sim.clock)
	for i := range groups {
		id := order.NewGroupID(order.DomainName(fmt.Sprintf("d%d", i%3)), fmt.Sprintf("r%02d", i))
		sim.groups[id] = &fakeGroup{
			id: id, epoch: 1, slots: slots, owned: true,
			entries:        make(map[order.TaskID]*fakeEntry),
			closedAttempts: make(map[string]bool),
			runTime:        func(order.Task) (time.Duration, order.Code) { return 50 * time.Millisecond, order.Done },
		}
		sim.groupIDs = append(sim.groupIDs, id)
	}
	sort.Slice(sim.groupIDs, func(i, j int) bool { return sim.groupIDs[i] < sim.groupIDs[j] })
	for i := range 3 {
		id := order.MemberID(fmt.Sprintf("gate%d", i))
		sim.gates[id] = &fakeGate{
			id:       id,
			accepted: make(map[order.RequestID]bool),
			answers:  make(map[uint64][]order.AnswerMsg),
			finals:   make(map[order.RequestID]order.AnswerMsg),
		}
	}
	sim.replaceOwner()
	return sim
}

// logf adds a line to the history, which is printed when a run fails.
func (sim *simulation) logf(format string, args ...any) {
	sim.history = append(sim.history, fmt.Sprintf("%s ", sim.now().Format("05.000"))+fmt.Sprintf(format, args...))
}

// recentHistory returns the last lines of the history.
func (sim *simulation) recentHistory(lines int) string {
	return strings.Join(sim.history[max(0, len(sim.history)-lines):], "\n")
}

// historyOf returns the lines of the history about one request, and about
// changes of owner.
func (sim *simulation) historyOf(id order.RequestID) string {
	var b strings.Builder
	for _, line := range sim.history {
		if strings.Contains(line, string("/"+id+"/")) || strings.Contains(line, string(" "+id+" ")) ||
			strings.Contains(line, "owner") || strings.Contains(line, "shuts down") {
			b.WriteString(line + "\n")
		}
	}
	return b.String()
}

func (sim *simulation) now() time.Time { return sim.clock.Now() }

// replaceOwner starts a new owner of the partition, which has only the journal.
// A write of the former owner may still reach the store afterwards, by
// runLateWrites.
func (sim *simulation) replaceOwner() {
	if sim.storeCall != nil {
		sim.lateWrites = append(sim.lateWrites, *sim.storeCall)
		sim.storeCall = nil
	}
	sim.epoch++
	sim.logf("owner at epoch %d", sim.epoch)
	for {
		if sim.tryOpen() {
			break
		}
		sim.clock.Advance(stepLength)
	}
	sim.machine = queue.NewMachine(sim.now(), testPartition, sim.epoch, sim.wrapLog(sim.log), sim.registry, sim.log.Records(),
		queue.WithSeed(sim.rand.Uint64()))
	sim.nextObserve = sim.now()
	for key := range sim.callsReceived {
		delete(sim.callsReceived, key)
		delete(sim.finalsSent, key)
	}
}

// tryOpen does what logbook.Open does, without its goroutine.
func (sim *simulation) tryOpen() bool {
	entries, _, err := sim.store.List(context.Background(), logbook.Prefix(testPartition))
	if err != nil {
		return false
	}
	log, err := logbook.NewLog(testPartition, sim.epoch, fmt.Sprint("owner", sim.epoch, sim.rand.Uint64()), entries)
	if err != nil {
		sim.fail("replay: %v", err)
	}
	op := log.Fence(sim.now())
	log.HandleResult(sim.now(), op, logbook.Execute(context.Background(), sim.store, op))
	sim.log = log
	return log.Fenced()
}

func (sim *simulation) run(d time.Duration) {
	for end := sim.now().Add(d); sim.now().Before(end); {
		sim.tick()
	}
}

func (sim *simulation) tick() {
	sim.clock.Advance(stepLength)
	sim.deliver()
	sim.stepJournal()
	for _, id := range sim.groupIDs {
		sim.groups[id].tick(sim)
	}
	if !sim.now().Before(sim.nextObserve) {
		sim.nextObserve = sim.now().Add(500 * time.Millisecond)
		sim.execute(sim.machine.Observe(sim.now(), sim.observation()))
	}
	if next := sim.machine.Next(); !next.IsZero() && !next.After(sim.now()) {
		sim.execute(sim.machine.Tick(sim.now()))
	}
}

func (sim *simulation) observation() queue.Observation {
	var digests []order.GroupDigest
	for _, id := range sim.groupIDs {
		if g := sim.groups[id]; g.owned {
			digests = append(digests, g.digest())
		}
	}
	return queue.NewObservation().
		WithConfig(sim.config).
		WithGroups(sim.groupIDs).
		WithDigests(digests).
		WithPlacers([]order.MemberID{placerID}).
		WithOwned(func(id order.GroupID) bool { return sim.groups[id].owned })
}

// stepJournal starts or finishes one call to the store, so that an owner can be
// replaced between any two of them.
func (sim *simulation) stepJournal() {
	if sim.storeCall == nil {
		if op, ok := sim.log.Next(sim.now()); ok {
			sim.storeCall = &op
		}
		return
	}
	op := *sim.storeCall
	sim.storeCall = nil
	result := logbook.Execute(context.Background(), sim.store, op)
	for _, c := range sim.log.HandleResult(sim.now(), op, result) {
		sim.execute(sim.machine.RecordDone(sim.now(), c.Token(), c.Err()))
	}
}

// runLateWrites executes the pending writes of replaced owners.
func (sim *simulation) runLateWrites() {
	for _, op := range sim.lateWrites {
		logbook.Execute(context.Background(), sim.store, op)
	}
	sim.lateWrites = nil
}

func (sim *simulation) transmit(p packet) {
	p.epoch = sim.receiverEpoch(p)
	copies := 1
	if sim.rand.Float64() < sim.duplicateRate {
		copies = 2
	}
	for range copies {
		if sim.rand.Float64() < sim.lossRate {
			continue
		}
		p.due = sim.now().Add(time.Duration(sim.rand.Int64N(int64(sim.maxDelay) + 1)))
		sim.network = append(sim.network, p)
	}
}

func (sim *simulation) deliver() {
	var due []packet
	inFlight := sim.network[:0]
	for _, p := range sim.network {
		if p.due.After(sim.now()) {
			inFlight = append(inFlight, p)
			continue
		}
		due = append(due, p)
	}
	sim.network = append([]packet(nil), inFlight...)
	sort.SliceStable(due, func(i, j int) bool { return due[i].due.Before(due[j].due) })
	for _, p := range due {
		switch {
		case p.gate != "":
			sim.gates[p.gate].receive(p.msg)
		case p.epoch != sim.receiverEpoch(p):
			sim.replyNotOwner(p)
		case p.group != "":
			sim.groups[p.group].receive(sim, p.msg)
		default:
			sim.deliverToMachine(p.from, p.msg)
		}
	}
}

// receiverEpoch returns the epoch of the receiver of a packet. Messages of
// groups are delivered to any owner of the partition, however late.
func (sim *simulation) receiverEpoch(p packet) order.Epoch {
	switch {
	case p.gate != "" || p.from == placerID:
		return 0
	case p.group != "":
		return sim.groups[p.group].epoch
	}
	return sim.epoch
}

// replyNotOwner replies that the group has another owner.
func (sim *simulation) replyNotOwner(p packet) {
	reply := order.NotOwnerMsg{}.WithPartition(order.GroupPartition(p.group))
	switch m := p.msg.(type) {
	case order.BidMsg:
		reply = reply.WithTask(m.Task().ID())
	case order.ConfirmMsg:
		reply = reply.WithTask(m.Task())
	default:
		return
	}
	sim.transmit(packet{from: placerID, msg: reply})
}

func (sim *simulation) deliverToMachine(from order.MemberID, msg order.Msg) {
	if m, ok := msg.(order.SubmitMsg); ok {
		key := logbook.Key{Team: m.Request().Team(), Request: m.Request().ID()}
		if sim.refused[key] != order.Done {
			delete(sim.refused, key)
			sim.startsSinceSubmit[key] = 0
		}
	}
	if m, ok := msg.(order.SubmitMsg); ok && m.Request().Detached() {
		sim.acceptOnly[fmt.Sprint(from, "#", m.Sequence())] = true
	}
	if sequence, ok := callSequence(msg); ok {
		sim.callsReceived[fmt.Sprint(from, "#", sequence)]++
	}
	sim.logf("receive from %s %s", from, describe(msg))
	sim.execute(sim.machine.Handle(sim.now(), from, msg))
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

func callSequence(msg order.Msg) (uint64, bool) {
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

func (sim *simulation) execute(commands []queue.Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case queue.PostCmd:
			sim.logf("post %s %s", c.Group(), describe(c.Msg()))
			sim.transmit(packet{group: c.Group(), msg: c.Msg()})
		case queue.SendCmd:
			sim.sendFromMachine(c)
		}
	}
}

func (sim *simulation) sendFromMachine(c queue.SendCmd) {
	if m, ok := c.Msg().(order.InventoryMsg); ok {
		sim.answerInventory(m)
		return
	}
	if a, ok := c.Msg().(order.AnswerMsg); ok && a.Final() {
		sim.logf("answer %s to %s: %s", a.Request(), c.To(), a.Code())
		sim.checkAnswer(c.To(), a)
	}
	sim.transmit(packet{gate: c.To(), msg: c.Msg()})
}

// checkAnswer fails the run if a final answer contradicts the starts that took
// place, or answers a call twice.
func (sim *simulation) checkAnswer(gate order.MemberID, a order.AnswerMsg) {
	key := logbook.Key{Team: a.Team(), Request: a.Request()}
	call := fmt.Sprint(gate, "#", a.Sequence())
	sim.finalsSent[call]++
	if sim.finalsSent[call] > sim.callsReceived[call] {
		sim.fail("gate %s got %d final answers to %d calls with sequence %d", gate, sim.finalsSent[call], sim.callsReceived[call], a.Sequence())
	}
	if a.Length() != len(a.Body()) || (len(a.Body()) > 0 && a.Checksum() != xxhash.Sum64(a.Body())) {
		sim.fail("answer of %s has a wrong length or checksum", a.Request())
	}
	switch a.Code() {
	case order.IDReused, order.UnknownRequest:
		return
	}
	switch a.Code().RunStatus() {
	case order.RunNo:
		if sim.startsSinceSubmit[key] > 0 {
			sim.fail("%s is answered %s but started %d times\n%s", a.Request(), a.Code(), sim.startsSinceSubmit[key], sim.historyOf(a.Request()))
		}
		sim.refused[key] = a.Code()
	case order.RunYes:
		if sim.startsSinceSubmit[key] == 0 {
			sim.fail("%s is answered %s but never started\n%s", a.Request(), a.Code(), sim.historyOf(a.Request()))
		}
	}
}

func (sim *simulation) answerInventory(m order.InventoryMsg) {
	if !sim.noInventory {
		sim.transmit(packet{from: placerID, msg: sim.inventoryReply(m)})
	}
}

func (sim *simulation) inventoryReply(m order.InventoryMsg) order.InventoryReplyMsg {
	reply := order.InventoryReplyMsg{}.WithPartition(m.Partition()).WithEpoch(m.Epoch())
	var (
		groups  []order.GroupID
		entries []order.InventoryEntry
	)
	for _, id := range sim.groupIDs {
		g := sim.groups[id]
		if !g.owned {
			continue
		}
		groups = append(groups, id)
		entries = append(entries, g.inventory()...)
	}
	return reply.WithGroups(groups).WithEntries(entries)
}

func (sim *simulation) nextSequence() uint64 {
	sim.sequence++
	return sim.sequence
}

func (sim *simulation) submit(gate order.MemberID, r order.Request) uint64 {
	sequence := sim.nextSequence()
	sim.submitted[logbook.Key{Team: r.Team(), Request: r.ID()}] = r
	sim.transmit(packet{from: gate, msg: order.SubmitMsg{}.WithPartition(testPartition).WithRequest(r).WithSequence(sequence)})
	return sequence
}

func (sim *simulation) cancel(gate order.MemberID, id order.RequestID) uint64 {
	sequence := sim.nextSequence()
	sim.transmit(packet{from: gate, msg: order.CancelMsg{}.WithPartition(testPartition).WithTeam(testTeam).WithRequest(id).WithSequence(sequence)})
	return sequence
}

func (sim *simulation) follow(gate order.MemberID, id order.RequestID) uint64 {
	sequence := sim.nextSequence()
	sim.transmit(packet{from: gate, msg: order.StatusMsg{}.WithPartition(testPartition).WithTeam(testTeam).WithRequest(id).WithFollow(true).WithSequence(sequence)})
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
