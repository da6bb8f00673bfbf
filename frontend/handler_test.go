package frontend_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"chervilhollow/frontend"
	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/sheet"
	"chervilhollow/timers"
	"chervilhollow/transport"
)

type (
	// fakeOwners stands for the placer processes that own the request
	// partitions, and for the directory of owners. replies holds a function
	// for each process that returns its replies to a message.
	fakeOwners struct {
		mu      sync.Mutex
		owner   order.MemberID
		epoch   order.Epoch
		replies map[order.MemberID]func(m order.Msg) []order.Msg
		sent    []sentMsg
		err     error
		wg      sync.WaitGroup
	}

	sentMsg struct {
		handler *frontend.Handler
		to      order.MemberID
		msg     order.Msg
	}

	// fakeSender sends the messages of one handler to the fake owners.
	fakeSender struct {
		owners  *fakeOwners
		handler *frontend.Handler
	}

	// answer is the decoded JSON answer to a call, with its HTTP status and
	// header.
	answer struct {
		ID     string  `json:"id"`
		Code   int     `json:"code"`
		Name   string  `json:"name"`
		Text   string  `json:"text"`
		Run    string  `json:"run"`
		State  string  `json:"state"`
		Result []byte  `json:"result"`
		Waited float64 `json:"waited_ms"`
		status int
		header http.Header
	}

	// fixture is a handler with its HTTP server and dependencies.
	fixture struct {
		t          testing.TB
		owners     *fakeOwners
		handler    *frontend.Handler
		server     *httptest.Server
		reg        *gauge.Registry
		refuseWork atomic.Bool
		config     atomic.Pointer[sheet.Config]
	}
)

const (
	p1        = order.MemberID("10.0.0.1:7000/p1")
	p2        = order.MemberID("10.0.0.2:7000/p2")
	validBody = `{"id":"r1","kind":"batch","cores":1.5,"memory_mb":64,"payload":"dGFn"}`
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func (c *fakeOwners) Owner(order.PartitionID) (order.MemberID, order.Epoch, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owner, c.epoch, c.owner != ""
}

// setOwner moves all partitions to the process and raises the epoch.
func (c *fakeOwners) setOwner(owner order.MemberID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner = owner
	c.epoch++
}

func (s *fakeSender) Send(to order.MemberID, m order.Msg) error {
	return s.owners.send(s.handler, to, m)
}

func (c *fakeOwners) send(handler *frontend.Handler, to order.MemberID, m order.Msg) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return c.err
	}
	c.sent = append(c.sent, sentMsg{handler, to, m})
	script := c.replies[to]
	if script == nil {
		return nil
	}
	replies := script(m)
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		for _, reply := range replies {
			handler.Handle(to, withSequenceOf(reply, m))
		}
	}()
	return nil
}

// withSequenceOf returns the reply with the sequence of the message it answers.
// An answer keeps the sequence it already has.
func withSequenceOf(reply, to order.Msg) order.Msg {
	switch reply := reply.(type) {
	case order.AnswerMsg:
		if reply.Sequence() == 0 {
			return reply.WithSequence(sequenceOf(to))
		}
	case order.AcceptedMsg:
		return reply.WithSequence(sequenceOf(to))
	}
	return reply
}

func sequenceOf(m order.Msg) uint64 {
	switch m := m.(type) {
	case order.SubmitMsg:
		return m.Sequence()
	case order.StatusMsg:
		return m.Sequence()
	case order.CancelMsg:
		return m.Sequence()
	}
	return 0
}

// reply sends the replies to every message that the process has received.
func (c *fakeOwners) reply(from order.MemberID, replies ...order.Msg) {
	c.mu.Lock()
	sent := append([]sentMsg(nil), c.sent...)
	c.mu.Unlock()
	for _, m := range sent {
		if m.to != from {
			continue
		}
		for _, reply := range replies {
			m.handler.Handle(from, withSequenceOf(reply, m.msg))
		}
	}
}

// hasSent reports whether the handler has sent any message.
func (c *fakeOwners) hasSent(handler *frontend.Handler) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.sent {
		if m.handler == handler {
			return true
		}
	}
	return false
}

func (c *fakeOwners) submissions() []order.SubmitMsg {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []order.SubmitMsg
	for _, m := range c.sent {
		if s, ok := m.msg.(order.SubmitMsg); ok {
			all = append(all, s)
		}
	}
	return all
}

func (b *fixture) MayAccept() bool { return !b.refuseWork.Load() }

// newFixture returns a handler on fake owners, with short timeouts.
func newFixture(t testing.TB, c *fakeOwners, opts ...frontend.Option) *fixture {
	t.Helper()
	sender := &fakeSender{owners: c}
	b := newFixtureOn(t, sender, c, opts...)
	b.owners = c
	sender.handler = b.handler
	t.Cleanup(c.wg.Wait)
	return b
}

// newFixtureOn returns a handler on the given sender and directory.
func newFixtureOn(t testing.TB, sender order.Sender, directory frontend.Directory, opts ...frontend.Option) *fixture {
	t.Helper()
	b := &fixture{t: t, reg: gauge.New(zerolog.Nop())}
	b.reg.SetStrict(true)
	b.config.Store(sheet.NewConfig(1).
		WithTeam(sheet.NewTeam("toys", 1, 100)).
		WithTeam(sheet.NewTeam("maps", 1, 100)).
		WithKey(sheet.NewKey(sheet.HashKey("toys-key"), "toys")).
		WithKey(sheet.NewKey(sheet.HashKey("maps-key"), "maps")).
		WithKey(sheet.NewKey(sheet.HashKey("old-key"), "toys").WithWithdrawn(true)))
	clock := timers.New()
	opts = append([]frontend.Option{
		frontend.WithResend(20 * time.Millisecond),
		frontend.WithGrace(50 * time.Millisecond),
		frontend.WithCallTimeouts(200*time.Millisecond, time.Second),
		frontend.WithOwnerWait(100 * time.Millisecond),
		frontend.WithDeadlines(time.Second, time.Hour),
	}, opts...)
	b.handler = frontend.New(frontend.NewDeps(clock, b.reg, zerolog.Nop()).
		WithSender(sender).
		WithDirectory(directory).
		WithAdmission(b).
		WithConfig(func() *sheet.Config { return b.config.Load() }), opts...)
	b.server = httptest.NewUnstartedServer(b.handler)
	b.server.Config = b.handler.Server()
	b.server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = b.handler.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		b.server.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	return b
}

// newFakeOwners returns owners of which p1 owns all partitions and replies as
// the function says. Without a function it does not reply.
func newFakeOwners(script func(m order.Msg) []order.Msg) *fakeOwners {
	return &fakeOwners{owner: p1, epoch: 1, replies: map[order.MemberID]func(order.Msg) []order.Msg{p1: script}}
}

func (b *fixture) call(method, path, key, body string) answer {
	b.t.Helper()
	r, err := http.NewRequest(method, b.server.URL+path, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		b.t.Fatal(err)
	}
	defer response.Body.Close()
	a := answer{status: response.StatusCode, header: response.Header}
	if err := json.NewDecoder(response.Body).Decode(&a); err != nil {
		b.t.Fatalf("%s %s: status %d: %v", method, path, response.StatusCode, err)
	}
	return a
}

func (b *fixture) submit(body string) answer {
	b.t.Helper()
	return b.call(http.MethodPost, "/v1/requests", "toys-key", body)
}

// done returns the final answer of a request that ran, with its result.
func done(team order.TeamName, id order.RequestID, body string) order.AnswerMsg {
	return final(team, id, order.Done).
		WithBody([]byte(body)).
		WithLength(len(body)).
		WithChecksum(xxhash.Sum64String(body))
}

func final(team order.TeamName, id order.RequestID, code order.Code) order.AnswerMsg {
	return order.AnswerMsg{}.WithTeam(team).WithRequest(id).WithCode(code).
		WithState(order.RequestDone).WithFinal(true)
}

func accepted(r order.Request) order.AcceptedMsg {
	return order.AcceptedMsg{}.WithTeam(r.Team()).WithRequest(r.ID())
}

// echo accepts each request and answers it with its payload.
func echo(m order.Msg) []order.Msg {
	s, ok := m.(order.SubmitMsg)
	if !ok {
		return nil
	}
	r := s.Request()
	return []order.Msg{accepted(r), done(r.Team(), r.ID(), "echo "+string(r.Payload()))}
}

// Guards against fields of a request or an answer that are lost or changed
// between the caller and the owner.
func TestSubmit(t *testing.T) {
	is := is.New(t)
	b := newFixture(t, newFakeOwners(echo))
	a := b.submit(validBody)
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.ID, "r1")
	is.Equal(a.Code, 0)
	is.Equal(a.Name, "done")
	is.Equal(a.Run, "yes")
	is.Equal(string(a.Result), "echo tag")
	r := b.owners.submissions()[0].Request()
	is.Equal(r.Team(), order.TeamName("toys"))
	is.Equal(r.Size().Cores(), order.MilliCores(1500))
	is.Equal(r.Size().Memory(), order.Bytes(64<<20))
	is.Equal(r.Tasks(), 1)
	is.True(!r.Fresh())
	is.Equal(b.owners.submissions()[0].Partition(), order.RequestPartition("toys", "r1"))
	is.True(time.Until(r.Deadline()) > 0)
}

// Guards against a copy that is marked as fresh, which means that no owner can
// have the request yet, although it is not the first one. TestSubmit checks
// that an ID chosen by the caller is never marked so.
func TestFreshOnlyOnFirstSend(t *testing.T) {
	is := is.New(t)
	c := newFakeOwners(nil)
	b := newFixture(t, c)
	a := b.submit(`{"kind":"batch","cores":1,"memory_mb":1,"deadline_ms":100}`)
	is.Equal(a.Code, int(order.OutcomeUnknown))
	is.Equal(a.Run, "unknown")
	is.True(a.ID != "")
	sent := c.submissions()
	is.True(len(sent) > 1)
	is.True(sent[0].Request().Fresh())
	for _, again := range sent[1:] {
		is.True(!again.Request().Fresh())
		is.Equal(string(again.Request().ID()), a.ID)
	}
}

// Guards against an invalid call that is forwarded to an owner, and against a
// refusal whose code or text does not say what to correct.
func TestInvalidCallsAreRefused(t *testing.T) {
	cases := []struct {
		name, key, body string
		code            order.Code
		text            string
	}{
		{"no key", "", validBody, order.KeyUnknown, "Authorization"},
		{"unknown key", "x", validBody, order.KeyUnknown, "operator"},
		{"withdrawn key", "old-key", validBody, order.KeyWithdrawn, "withdrawn"},
		{"empty", "toys-key", ``, order.Malformed, "kind"},
		{"no object", "toys-key", `[1]`, order.Malformed, "array"},
		{"truncated", "toys-key", `{"kind":"batch",`, order.Malformed, "EOF"},
		{"two objects", "toys-key", validBody + validBody, order.Malformed, "one JSON object"},
		{"unknown field", "toys-key", `{"kind":"batch","colour":1}`, order.Malformed, "colour"},
		{"wrong type", "toys-key", `{"kind":"batch","cores":"1"}`, order.Malformed, "cores"},
		{"kind", "toys-key", `{"kind":"lunch","cores":1,"memory_mb":1}`, order.UnknownKind, "batch"},
		{"no kind", "toys-key", `{"cores":1,"memory_mb":1}`, order.UnknownKind, "batch"},
		{"bad id", "toys-key", `{"id":"a/b","kind":"batch","cores":1,"memory_mb":1}`, order.Malformed, "id"},
		{"no size", "toys-key", `{"kind":"batch"}`, order.Malformed, "cores"},
		{"no memory", "toys-key", `{"kind":"batch","cores":1}`, order.Malformed, "memory_mb"},
		{"huge size", "toys-key", `{"kind":"batch","cores":1e300,"memory_mb":1}`, order.Malformed, "cores"},
		{"negative", "toys-key", `{"kind":"batch","cores":1,"memory_mb":1,"accelerators":-1}`, order.Malformed, "accelerators"},
		{"batch tasks", "toys-key", `{"kind":"batch","cores":1,"memory_mb":1,"tasks":2}`, order.Malformed, "tasks"},
		{"zero tasks", "toys-key", `{"kind":"gang","cores":1,"memory_mb":1,"tasks":0}`, order.Malformed, "tasks"},
		{"many tasks", "toys-key", `{"kind":"gang","cores":1,"memory_mb":1,"tasks":100000}`, order.Malformed, "tasks"},
		{"attached service", "toys-key", `{"kind":"service","cores":1,"memory_mb":1}`, order.Malformed, "detached"},
		{"zero deadline", "toys-key", `{"kind":"batch","cores":1,"memory_mb":1,"deadline_ms":0}`, order.BadDeadline, "deadline_ms"},
		{"long deadline", "toys-key", `{"kind":"batch","cores":1,"memory_mb":1,"deadline_ms":99999999999}`, order.BadDeadline, "deadline_ms"},
		{"large body", "toys-key", `{"kind":"batch","payload":"` + strings.Repeat("A", 5000) + `"}`, order.BodyTooLarge, "4096"},
	}
	b := newFixture(t, newFakeOwners(echo), frontend.WithBodyLimit(4096, 16<<10))
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			a := b.call(http.MethodPost, "/v1/requests", test.key, test.body)
			is.Equal(a.Code, int(test.code))
			is.Equal(a.Run, "no")
			is.True(a.status >= 400 && a.status < 500)
			is.True(strings.Contains(a.Text, test.text))
		})
	}
	is.New(t).Equal(len(b.owners.submissions()), 0)
	a := b.call(http.MethodPut, "/v1/orders", "toys-key", "")
	is.New(t).Equal(a.status, http.StatusNotFound)
	is.New(t).Equal(a.Code, int(order.Malformed))
}

// Guards against a result code of an owner that is answered with the wrong HTTP
// status, text or value of "run".
func TestCodesFromOwner(t *testing.T) {
	for _, code := range order.Codes() {
		if code == order.Pending {
			continue
		}
		t.Run(code.String(), func(t *testing.T) {
			is := is.New(t)
			b := newFixture(t, newFakeOwners(func(order.Msg) []order.Msg {
				return []order.Msg{final("toys", "r1", code).WithText("because")}
			}))
			a := b.submit(validBody)
			is.Equal(a.Code, int(code))
			is.Equal(a.Text, "because")
			is.Equal(a.Run, code.RunStatus().String())
			is.Equal(a.status == http.StatusOK, code == order.Done)
			is.True(code == order.Internal || a.status != http.StatusInternalServerError)
		})
	}
}

// Guards against work that is accepted while the configuration may be too old
// to show that a key was withdrawn.
func TestConfigUncertain(t *testing.T) {
	is := is.New(t)
	b := newFixture(t, newFakeOwners(echo))
	b.refuseWork.Store(true)
	is.Equal(b.submit(validBody).Code, int(order.ConfigUncertain))
	b.refuseWork.Store(false)
	is.Equal(b.submit(validBody).Code, 0)
	b.config.Store(nil)
	is.Equal(b.submit(validBody).Code, int(order.ConfigUncertain))
}

// Guards against a rate limit that one team uses up for the others.
func TestTeamRate(t *testing.T) {
	is := is.New(t)
	b := newFixture(t, newFakeOwners(echo), frontend.WithTeamRate(0.001, 2))
	is.Equal(b.submit(validBody).Code, 0)
	is.Equal(b.submit(validBody).Code, 0)
	a := b.submit(validBody)
	is.Equal(a.Code, int(order.RateExceeded))
	is.Equal(a.header.Get("Retry-After"), "1")
	other := b.call(http.MethodPost, "/v1/requests", "maps-key", validBody)
	is.Equal(other.Code, 0)
}

// Guards against an answer that is returned to the caller of another request.
// Each submission also receives answers for another team, another request and
// an unknown sequence. Resending is disabled so that the dropped answers can be
// counted.
func TestMisroutedAndLateAnswers(t *testing.T) {
	is := is.New(t)
	b := newFixture(t, newFakeOwners(func(m order.Msg) []order.Msg {
		s := m.(order.SubmitMsg).Request()
		return []order.Msg{
			done("maps", s.ID(), "of another team"),
			done(s.Team(), "other", "of another request"),
			order.StatusMsg{},
			final(s.Team(), s.ID(), order.QueueFull).WithSequence(99999),
			done(s.Team(), s.ID(), string(s.Payload())),
		}
	}), frontend.WithResend(time.Minute))
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			payload := fmt.Sprintf("p%03d", i)
			encoded, _ := json.Marshal([]byte(payload))
			a := b.submit(fmt.Sprintf(`{"id":"q%d","kind":"preview","cores":1,"memory_mb":1,"payload":%s}`, i, encoded))
			if string(a.Result) != payload {
				t.Errorf("request %d got %q", i, a.Result)
			}
		}()
	}
	wg.Wait()
	b.owners.wg.Wait()
	is.Equal(b.reg.Counter("counter.dropped.foreign"), int64(100))
	is.True(b.reg.Counter("counter.dropped.late") >= 50)
	is.Equal(b.reg.Counter("counter.dropped.unexpected"), int64(50))
}

// Guards against a truncated or corrupt result that is returned to the caller.
// The handler must drop it and resend until the result is complete.
func TestTruncatedAnswer(t *testing.T) {
	is := is.New(t)
	calls := 0
	short := done("toys", "r1", "whole").WithBody([]byte("who"))
	garbled := done("toys", "r1", "whole").WithBody([]byte("whale"))
	b := newFixture(t, newFakeOwners(func(order.Msg) []order.Msg {
		calls++
		return []order.Msg{[]order.Msg{short, garbled, done("toys", "r1", "whole")}[min(calls-1, 2)]}
	}))
	a := b.submit(validBody)
	is.Equal(a.Code, 0)
	is.Equal(string(a.Result), "whole")
	is.Equal(b.reg.Counter("counter.dropped.incomplete"), int64(2))
}

// Guards against an answer "not run" for a request that ran, when its result
// only arrives truncated until the deadline.
func TestAnswerIncomplete(t *testing.T) {
	is := is.New(t)
	b := newFixture(t, newFakeOwners(func(order.Msg) []order.Msg {
		return []order.Msg{done("toys", "r1", "whole").WithBody([]byte("who"))}
	}))
	a := b.submit(`{"id":"r1","kind":"batch","cores":1,"memory_mb":1,"deadline_ms":100}`)
	is.Equal(a.Code, int(order.AnswerIncomplete))
	is.Equal(a.Run, "unknown")
}

// Guards against an answer "not run" for a request that was sent to a process
// and not answered by it.
func TestOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	b := newFixture(t, newFakeOwners(nil))
	a := b.submit(`{"id":"r1","kind":"batch","cores":1,"memory_mb":1,"deadline_ms":100}`)
	is.Equal(a.Code, int(order.OutcomeUnknown))
}

// Guards against a submission that waits until its deadline while its partition
// has no owner, and against a full send queue that is not reported.
func TestNoOwner(t *testing.T) {
	is := is.New(t)
	c := newFakeOwners(echo)
	c.owner = ""
	b := newFixture(t, c)
	a := b.submit(validBody)
	is.Equal(a.Code, int(order.NoOwner))
	is.Equal(a.Run, "no")
	c.setOwner(p1)
	c.mu.Lock()
	c.err = transport.ErrQueueFull
	c.mu.Unlock()
	is.Equal(b.submit(validBody).Code, int(order.QueueFull))
}

// Guards against a request that is lost when its partition moves to another
// owner after it was accepted. The handler must resend it to the new owner.
func TestOwnerChanges(t *testing.T) {
	is := is.New(t)
	c := newFakeOwners(func(m order.Msg) []order.Msg {
		return []order.Msg{accepted(m.(order.SubmitMsg).Request())}
	})
	c.replies[p2] = echo
	b := newFixture(t, c)
	time.AfterFunc(100*time.Millisecond, func() { c.setOwner(p2) })
	is.Equal(b.submit(validBody).Code, 0)
}

// Guards against a request that keeps going to the former owner while the
// directory is out of date. The former owner names the new one.
func TestNotOwnerRedirects(t *testing.T) {
	is := is.New(t)
	c := newFakeOwners(func(m order.Msg) []order.Msg {
		s := m.(order.SubmitMsg)
		return []order.Msg{order.NotOwnerMsg{}.WithPartition(s.Partition()).
			WithRequest(s.Request().ID()).WithOwner(p2).WithEpoch(2)}
	})
	c.replies[p2] = echo
	b := newFixture(t, c)
	is.Equal(b.submit(validBody).Code, 0)
	is.Equal(b.reg.Counter("counter.not_owner"), int64(1))
}

// Guards against a refusal by a former owner that is returned to the caller
// after the new owner has accepted the request.
func TestRefusalOfFormerOwner(t *testing.T) {
	is := is.New(t)
	c := newFakeOwners(nil)
	c.replies[p2] = func(m order.Msg) []order.Msg { return []order.Msg{accepted(m.(order.SubmitMsg).Request())} }
	b := newFixture(t, c)
	got := make(chan answer, 1)
	go func() { got <- b.submit(validBody) }()
	waitFor(t, func() bool { return len(c.submissions()) > 0 })
	c.setOwner(p2)
	time.Sleep(200 * time.Millisecond)
	c.reply(p1, final("toys", "r1", order.QueueFull))
	waitFor(t, func() bool { return b.reg.Counter("counter.refusals") > 0 })
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(got), 0)
	c.reply(p2, done("toys", "r1", "ran"))
	is.Equal((<-got).Code, 0)
}

// Guards against the answer "queue full" for a request that runs: the owner
// refuses the first copy and accepts the second one.
func TestRefusalOfOneCopy(t *testing.T) {
	is := is.New(t)
	c := newFakeOwners(nil)
	b := newFixture(t, c)
	got := make(chan answer, 1)
	go func() { got <- b.submit(validBody) }()
	waitFor(t, func() bool { return len(c.submissions()) > 1 })
	first, second := c.submissions()[0], c.submissions()[1]
	b.handler.Handle(p1, withSequenceOf(final("toys", "r1", order.QueueFull), first))
	waitFor(t, func() bool { return b.reg.Counter("counter.refusal_unsettled") == 1 })
	is.Equal(len(got), 0)
	b.handler.Handle(p1, withSequenceOf(accepted(second.Request()), second))
	b.handler.Handle(p1, withSequenceOf(done("toys", "r1", "ran"), second))
	is.Equal((<-got).Code, 0)
}

// Guards against an answer "not run" while the first copy is unanswered and may
// still start the request.
func TestRefusalWithoutAnswerToOtherCopy(t *testing.T) {
	is := is.New(t)
	c := newFakeOwners(nil)
	b := newFixture(t, c)
	got := make(chan answer, 1)
	go func() { got <- b.submit(validBody) }()
	waitFor(t, func() bool { return len(c.submissions()) > 1 })
	b.handler.Handle(p1, withSequenceOf(final("toys", "r1", order.QueueFull), c.submissions()[1]))
	is.Equal((<-got).Code, int(order.OutcomeUnknown))
}

// Guards against a request that is sent several times with one ID and is
// answered differently each time, through the same handler or another one.
func TestDuplicateIDs(t *testing.T) {
	is := is.New(t)
	c := newFakeOwners(nil)
	first, second := newFixture(t, c), newFixture(t, c)
	got := make(chan answer, 3)
	for _, b := range []*fixture{first, first, second} {
		go func() { got <- b.submit(validBody) }()
	}
	waitFor(t, func() bool {
		return first.reg.Counter("counter.joined") == 1 && c.hasSent(first.handler) && c.hasSent(second.handler)
	})
	conflict := first.submit(strings.Replace(validBody, "dGFn", "dGFt", 1))
	is.Equal(conflict.Code, int(order.IDReused))
	is.Equal(conflict.status, http.StatusConflict)
	c.reply(p1, done("toys", "r1", "once"))
	for range 3 {
		is.Equal(string((<-got).Result), "once")
	}
}

// Guards against a detached request that is acknowledged before the owner has
// recorded it.
func TestDetached(t *testing.T) {
	is := is.New(t)
	body := strings.Replace(validBody, "{", `{"detached":true,`, 1)
	b := newFixture(t, newFakeOwners(func(m order.Msg) []order.Msg {
		return []order.Msg{accepted(m.(order.SubmitMsg).Request())}
	}))
	a := b.submit(body)
	is.Equal(a.status, http.StatusAccepted)
	is.Equal(a.Code, int(order.Pending))
	is.Equal(a.State, "queued")
	is.Equal(a.Run, "unknown")
	is.True(b.owners.submissions()[0].Request().Deadline().IsZero())
	refused := newFixture(t, newFakeOwners(func(order.Msg) []order.Msg {
		return []order.Msg{final("toys", "r1", order.JournalUnavailable)}
	}))
	is.Equal(refused.submit(body).Code, int(order.JournalUnavailable))
}

// queryReply returns a reply function that answers status messages.
func queryReply(state order.RequestState, code order.Code, final bool, body string) func(order.Msg) []order.Msg {
	return func(m order.Msg) []order.Msg {
		q, ok := m.(order.StatusMsg)
		if !ok {
			return nil
		}
		return []order.Msg{done(q.Team(), q.Request(), body).WithCode(code).
			WithState(state).WithFinal(final).WithSequence(q.Sequence())}
	}
}

// Guards against a status or result call that reports a wrong state, or a wrong
// value of "run" for a request that is queued, unknown or not answered.
func TestStatusAndResult(t *testing.T) {
	is := is.New(t)
	b := newFixture(t, newFakeOwners(queryReply(order.RequestQueued, order.Done, false, "")))
	a := b.call(http.MethodGet, "/v1/requests/r1", "toys-key", "")
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.Code, int(order.Pending))
	is.Equal(a.State, "queued")
	is.Equal(a.Run, "unknown")
	b = newFixture(t, newFakeOwners(queryReply(order.RequestDone, order.Done, true, "whole")))
	a = b.call(http.MethodGet, "/v1/requests/r1", "toys-key", "")
	is.Equal(a.State, "done")
	is.Equal(len(a.Result), 0)
	a = b.call(http.MethodGet, "/v1/requests/r1/result", "toys-key", "")
	is.Equal(string(a.Result), "whole")
	is.Equal(a.Run, "yes")
	b = newFixture(t, newFakeOwners(queryReply(order.RequestUnknown, order.UnknownRequest, true, "")))
	a = b.call(http.MethodGet, "/v1/requests/r1", "toys-key", "")
	is.Equal(a.status, http.StatusNotFound)
	is.Equal(a.Run, "unknown")
	a = b.call(http.MethodGet, "/v1/requests/r1/result?wait_ms=soon", "toys-key", "")
	is.Equal(a.Code, int(order.Malformed))
	is.Equal(a.Run, "unknown")
	b = newFixture(t, newFakeOwners(nil))
	a = b.call(http.MethodGet, "/v1/requests/r1", "toys-key", "")
	is.Equal(a.Code, int(order.OutcomeUnknown))
	is.Equal(a.Run, "unknown")
}

// Guards against a result call with wait_ms that returns before its limit while
// the request runs, or does not return when the request ends.
func TestResultLongPoll(t *testing.T) {
	is := is.New(t)
	c := newFakeOwners(queryReply(order.RequestRunning, order.Done, false, ""))
	b := newFixture(t, c)
	start := time.Now()
	a := b.call(http.MethodGet, "/v1/requests/r1/result?wait_ms=300", "toys-key", "")
	is.Equal(a.Code, int(order.Pending))
	is.Equal(a.State, "running")
	is.Equal(a.Run, "yes")
	is.True(time.Since(start) > 290*time.Millisecond)
	time.AfterFunc(100*time.Millisecond, func() { c.reply(p1, done("toys", "r1", "late")) })
	a = b.call(http.MethodGet, "/v1/requests/r1/result?wait_ms=1000", "toys-key", "")
	is.Equal(string(a.Result), "late")
}

// Guards against an answer to a cancel call that is returned to the open
// submission of the same request, or the other way round.
func TestCancel(t *testing.T) {
	is := is.New(t)
	c := newFakeOwners(func(m order.Msg) []order.Msg {
		switch m := m.(type) {
		case order.SubmitMsg:
			return []order.Msg{accepted(m.Request())}
		case order.CancelMsg:
			return []order.Msg{final("toys", "r1", order.CancelledBeforeRun)}
		}
		return nil
	})
	b := newFixture(t, c)
	got := make(chan answer, 1)
	go func() { got <- b.submit(validBody) }()
	waitFor(t, func() bool { return len(c.submissions()) > 0 })
	a := b.call(http.MethodDelete, "/v1/requests/r1", "toys-key", "")
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.Code, int(order.CancelledBeforeRun))
	is.Equal(a.Run, "no")
	is.Equal(len(got), 0)
	c.reply(p1, final("toys", "r1", order.CancelledBeforeRun))
	submitted := <-got
	is.Equal(submitted.Code, int(order.CancelledBeforeRun))
	is.Equal(submitted.status, http.StatusGone)
}

// Guards against a drain that ends open requests or accepts new ones.
func TestDrain(t *testing.T) {
	is := is.New(t)
	c := newFakeOwners(nil)
	b := newFixture(t, c)
	got := make(chan answer, 1)
	go func() { got <- b.submit(validBody) }()
	waitFor(t, func() bool { return len(c.submissions()) > 0 })
	drained := make(chan struct{})
	go func() {
		b.handler.Drain(context.Background())
		close(drained)
	}()
	waitFor(t, b.handler.Stopping)
	refused := b.submit(validBody)
	is.Equal(refused.Code, int(order.Stopping))
	is.Equal(refused.status, http.StatusServiceUnavailable)
	is.Equal(refused.header.Get("Retry-After"), "1")
	is.Equal(len(got), 0)
	c.reply(p1, done("toys", "r1", "whole"))
	is.Equal((<-got).Code, 0)
	<-drained
}

// Guards against a drain that does not end with its context, and against an
// answer "not run" for a request that had been sent to its owner.
func TestDrainTimeout(t *testing.T) {
	is := is.New(t)
	c := newFakeOwners(nil)
	b := newFixture(t, c)
	got := make(chan answer, 1)
	go func() { got <- b.submit(validBody) }()
	waitFor(t, func() bool { return len(c.submissions()) > 0 })
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	b.handler.Drain(ctx)
	a := <-got
	is.Equal(a.Code, int(order.OutcomeUnknown))
	is.Equal(a.Run, "unknown")
}

// Guards against a submission that stays open after its only caller closed the
// connection.
func TestCallerDisconnects(t *testing.T) {
	is := is.New(t)
	c := newFakeOwners(nil)
	b := newFixture(t, c)
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, b.server.URL+"/v1/requests", strings.NewReader(validBody))
	is.NoErr(err)
	r.Header.Set("Authorization", "Bearer toys-key")
	go func() {
		if response, err := http.DefaultClient.Do(r); err == nil {
			response.Body.Close()
		}
	}()
	waitFor(t, func() bool { return len(c.submissions()) > 0 })
	cancel()
	waitFor(t, func() bool { return b.reg.Counter("counter.caller_left") == 1 })
	b.handler.Drain(context.Background())
	c.reply(p1, done("toys", "r1", "late"))
	is.True(b.reg.Counter("counter.dropped.late") > 0)
}

// Guards against open calls above the limit on their number or on the memory of
// their bodies, and against a limit that is not released when a call ends.
func TestOpenLimits(t *testing.T) {
	for name, opt := range map[string]frontend.Option{
		"calls":  frontend.WithOpenLimit(1),
		"memory": frontend.WithMemoryLimit(int64(len(validBody))),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newFakeOwners(nil)
			b := newFixture(t, c, frontend.WithBodyLimit(int64(len(validBody)), 16<<10), opt)
			got := make(chan answer, 1)
			go func() { got <- b.submit(validBody) }()
			waitFor(t, func() bool { return len(c.submissions()) > 0 })
			a := b.submit(validBody)
			is.Equal(a.Code, int(order.QueueFull))
			is.Equal(a.Run, "no")
			c.reply(p1, done("toys", "r1", "whole"))
			is.Equal((<-got).Code, 0)
			waitFor(t, func() bool { return b.submit(strings.Replace(validBody, "r1", "r2", 1)).Code != int(order.QueueFull) })
		})
	}
}

// sendPartialBody sends part of a body, and then nothing, and returns the HTTP
// status of the answer.
func sendPartialBody(t *testing.T, b *fixture, key string) int {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", b.server.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
	_, err = fmt.Fprintf(conn, "POST /v1/requests HTTP/1.1\r\nHost: gate\r\nAuthorization: Bearer %s\r\n"+
		"Content-Length: %d\r\n\r\n%s", key, len(validBody), validBody[:10])
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	return response.StatusCode
}

// Guards against a caller that keeps a connection open by not sending the rest
// of its body, and against a read deadline that still applies after the body
// was read, which would end a request that waits for its answer.
func TestReadTimeout(t *testing.T) {
	is := is.New(t)
	c := newFakeOwners(nil)
	b := newFixture(t, c, frontend.WithReadTimeouts(100*time.Millisecond, 100*time.Millisecond, time.Minute))
	for key, status := range map[string]int{"toys-key": http.StatusBadRequest, "x": http.StatusUnauthorized} {
		is.Equal(sendPartialBody(t, b, key), status)
	}
	got := make(chan answer, 1)
	go func() { got <- b.submit(validBody) }()
	waitFor(t, func() bool { return len(c.submissions()) > 0 })
	time.Sleep(300 * time.Millisecond)
	c.reply(p1, done("toys", "r1", "whole"))
	is.Equal((<-got).Code, 0)
}

func waitFor(t testing.TB, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
		if cond() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("condition not reached")
}

// Guards against a body that causes a panic, or that is forwarded with invalid
// values. The sender refuses every message, so each answer must be "not run".
func FuzzBody(f *testing.F) {
	for _, seed := range []string{validBody, `{}`, `{"kind":"gang","tasks":3,"cores":0.5,"memory_mb":1}`, `{"kind":"batch","cores":1e400}`} {
		f.Add(seed)
	}
	config := sheet.NewConfig(1).WithTeam(sheet.NewTeam("toys", 1, 1)).WithKey(sheet.NewKey(sheet.HashKey("toys-key"), "toys"))
	c := newFakeOwners(nil)
	c.err = transport.ErrQueueFull
	handler := frontend.New(frontend.NewDeps(timers.New(), gauge.New(zerolog.Nop()), zerolog.Nop()).
		WithSender(&fakeSender{owners: c}).WithDirectory(c).WithAdmission(allowAll{}).
		WithConfig(func() *sheet.Config { return config }), frontend.WithTeamRate(1e9, 1e9))
	f.Fuzz(func(t *testing.T, body string) {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/v1/requests", strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer toys-key")
		handler.ServeHTTP(w, r)
		var a answer
		if err := json.Unmarshal(w.Body.Bytes(), &a); err != nil || a.Name == "internal" || a.Run != "no" {
			t.Fatalf("answer %q: %v", w.Body, err)
		}
	})
}

// allowAll is an Admission that always accepts work.
type allowAll struct{}

func (allowAll) MayAccept() bool { return true }
