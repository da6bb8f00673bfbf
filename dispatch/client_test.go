package dispatch_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"chervilhollow/dispatch"
	"chervilhollow/order"
	"chervilhollow/simulator"
	"chervilhollow/timers"
)

// fixture is a client with a simulated worker.
type fixture struct {
	t       *testing.T
	server  *httptest.Server
	workers *simulator.Workers
	client  *dispatch.Client
}

const testLease = time.Second

func newFixture(t *testing.T) *fixture {
	settings := simulator.WorkerSettings{UsageLagMS: 1, Workers: []simulator.WorkerSpec{{
		ID: "w1", Domain: "east", Rack: "r1", Slots: 4, Connections: 4, MilliCores: 4000, MemoryMB: 1024, Fenced: true,
	}}}
	b := &fixture{t: t, workers: simulator.NewWorkers(timers.New(), settings)}
	b.server = httptest.NewServer(b.workers)
	b.client = dispatch.NewClient("w1", settings.HostListWorkers(b.server.URL)[0].URL())
	t.Cleanup(func() {
		b.switchWorkers(`{"pause": false, "slow_ms": 0}`)
		b.client.Close()
		b.workers.Close()
		b.server.CloseClientConnections()
		b.server.Close()
	})
	return b
}

func (b *fixture) switchWorkers(body string) {
	resp, err := http.Post(b.server.URL+"/switch", "application/json", strings.NewReader(body))
	is.New(b.t).NoErr(err)
	_ = resp.Body.Close()
}

func (b *fixture) stamp() dispatch.Stamp {
	listing, err := b.client.Tasks(context.Background(), 1)
	is.New(b.t).NoErr(err)
	return listing.Stamp()
}

func (b *fixture) start(name, payload string, check func() error) error {
	_, err := b.client.Start(context.Background(), newStart(name, payload, 1, b.stamp()), check)
	return err
}

func newStart(name, payload string, epoch order.Epoch, stamp dispatch.Stamp) dispatch.StartRequest {
	id := order.NewTaskID("tags", order.RequestID(name), 0)
	task := order.Task{}.WithID(id).WithTeam("tags").WithKind(order.Batch).
		WithSize(order.Resources{}.WithCores(500).WithMemory(1 << 20)).
		WithPayload([]byte(payload))
	return dispatch.NewStartRequest(task, 1, epoch, testLease, stamp)
}

func refOf(name string) dispatch.AttemptRef {
	return dispatch.NewAttemptRef(order.NewTaskID("tags", order.RequestID(name), 0), 1)
}

func reason(err error) string {
	var refused *dispatch.RefusedError
	if errors.As(err, &refused) {
		return refused.Reason()
	}
	return ""
}

// Guards against protocol fields that client and worker name differently. The
// task passes through all calls from its start to its acknowledgement.
func TestTaskLifecycle(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	ctx := context.Background()
	is.NoErr(b.start("a/b", `{"run_ms":150,"result":"out","use":{"cores":0.25}}`, nil))
	listing, err := b.client.Tasks(ctx, 1)
	is.NoErr(err)
	is.Equal(len(listing.Running()), 1)
	is.Equal(listing.Running()[0].Task().Team(), order.TeamName("tags"))
	is.Equal(listing.Running()[0].Reserved().Cores(), order.MilliCores(500))
	time.Sleep(5 * time.Millisecond)
	uses, err := b.client.Usage(ctx)
	is.NoErr(err)
	is.Equal(len(uses), 1)
	is.Equal(uses[0].Used().Cores(), order.MilliCores(250))
	events, err := b.client.Events(ctx, 0, 2*time.Second)
	is.NoErr(err)
	is.Equal(len(events.Outcomes()), 1)
	outcome := events.Outcomes()[0].Outcome()
	is.Equal(outcome.Code(), order.Done)
	is.Equal(string(outcome.Body()), "out")
	is.Equal(outcome.Worker(), order.WorkerID("w1"))
	is.NoErr(b.client.Ack(ctx, []dispatch.AttemptRef{refOf("a/b")}))
	listing, err = b.client.Tasks(ctx, 1)
	is.NoErr(err)
	is.Equal(len(listing.Outcomes()), 0)
}

// Guards against a start that is written although the ownership expired between
// the decision and the write, also in the middle of a large payload.
func TestFailedCheckPreventsStart(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	expired := errors.New("guard expired")
	err := b.start("small", "{}", func() error { return expired })
	is.True(errors.Is(err, dispatch.ErrNotSent))
	is.True(errors.Is(err, expired))
	reads := 0
	err = b.start("large", strings.Repeat("x", 1<<20), func() error {
		if reads++; reads > 2 {
			return expired
		}
		return nil
	})
	is.True(errors.Is(err, dispatch.ErrNotSent))
	is.True(reads > 2)
	time.Sleep(50 * time.Millisecond)
	is.Equal(b.workers.Audit().Starts, 0)
}

// Guards against a refused connection that is reported as a possible start.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	client := dispatch.NewClient("w1", server.URL)
	server.Close()
	_, err := client.Start(context.Background(), newStart("a", "{}", 1, dispatch.Stamp{}), nil)
	is.True(errors.Is(err, dispatch.ErrNotSent))
}

// Guards against a lost answer that is reported as a failed start, and against
// a second run when the start is repeated.
func TestLostAnswerIsUncertain(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	stamp := b.stamp()
	b.switchWorkers(`{"drop_answers": true}`)
	request := newStart("a", `{"run_ms":1000}`, 1, stamp)
	_, err := b.client.Start(context.Background(), request, nil)
	is.True(errors.Is(err, dispatch.ErrUncertain))
	b.switchWorkers(`{"drop_answers": false}`)
	_, err = b.client.Start(context.Background(), request, nil)
	is.NoErr(err)
	is.Equal(b.workers.Audit().Starts, 1)
}

// Guards against a start that is executed again after its outcome was
// acknowledged.
func TestAcknowledgedAttemptDoesNotRunAgain(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	ctx := context.Background()
	start := newStart("a", `{"run_ms":1}`, 1, b.stamp())
	_, err := b.client.Start(ctx, start, nil)
	is.NoErr(err)
	_, err = b.client.Events(ctx, 0, time.Second)
	is.NoErr(err)
	is.NoErr(b.client.Ack(ctx, []dispatch.AttemptRef{refOf("a")}))
	_, err = b.client.Start(ctx, start, nil)
	is.Equal(reason(err), dispatch.ReasonForgotten)
	is.Equal(b.workers.Audit().Starts, 1)
}

// Guards against a former owner that starts, renews or stops tasks on a worker
// with fencing support. A worker without it accepts the start.
func TestFencingRefusesFormerOwner(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	ctx := context.Background()
	stamp := b.stamp()
	_, err := b.client.Tasks(ctx, 2)
	is.NoErr(err)
	_, err = b.client.Start(ctx, newStart("a", "{}", 1, stamp), nil)
	is.Equal(reason(err), dispatch.ReasonStaleEpoch)
	_, err = b.client.Renew(ctx, 1, testLease, stamp, nil, nil)
	is.Equal(reason(err), dispatch.ReasonStaleEpoch)
	is.Equal(reason(b.client.Stop(ctx, 1, refOf("a"))), dispatch.ReasonStaleEpoch)
	b.switchWorkers(`{"fenced": false}`)
	_, err = b.client.Start(ctx, newStart("a", "{}", 1, stamp), nil)
	is.NoErr(err)
}

// Guards against a task that keeps running after its lease has expired.
func TestTaskEndsWhenLeaseExpires(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	is.NoErr(b.start("a", `{"run_ms":60000}`, nil))
	is.NoErr(b.start("b", `{"run_ms":60000}`, nil))
	time.Sleep(testLease / 2)
	renewal, err := b.client.Renew(context.Background(), 1, testLease, b.stamp(), []dispatch.AttemptRef{refOf("a"), refOf("gone")}, nil)
	is.NoErr(err)
	is.Equal(renewal.Unknown(), []dispatch.AttemptRef{refOf("gone")})
	events, err := b.client.Events(context.Background(), 0, 3*time.Second)
	is.NoErr(err)
	is.Equal(len(events.Outcomes()), 1)
	is.Equal(events.Outcomes()[0].Outcome().Task(), refOf("b").Task())
	is.Equal(events.Outcomes()[0].Outcome().Code(), order.WorkerLost)
}

// Guards against a worker that resumes after a pause and then executes a start
// or a renewal whose lease has expired meanwhile.
func TestPausedWorkerRefusesStaleStamps(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	ctx := context.Background()
	stamp := b.stamp()
	_, err := b.client.Start(ctx, newStart("a", `{"run_ms":60000}`, 1, stamp), nil)
	is.NoErr(err)
	b.switchWorkers(`{"pause": true}`)
	_, err = b.client.Start(ctx, newStart("b", "{}", 1, stamp), nil)
	is.True(errors.Is(err, dispatch.ErrUncertain))
	_, err = b.client.Renew(ctx, 1, testLease, stamp, []dispatch.AttemptRef{refOf("a")}, nil)
	is.True(errors.Is(err, dispatch.ErrUncertain))
	b.switchWorkers(`{"pause": false}`)
	time.Sleep(50 * time.Millisecond)
	audit := b.workers.Audit()
	is.Equal(audit.Starts, 1)
	is.Equal(audit.Running, 0)
	_, err = b.client.Start(ctx, newStart("b", "{}", 1, stamp), nil)
	is.Equal(reason(err), dispatch.ReasonStaleStamp)
}

// Guards against a worker that crashes and loses its tasks without a change
// that the owner can detect.
func TestCrashChangesIncarnation(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	is.NoErr(b.start("a", `{"run_ms":60000}`, nil))
	before := b.stamp()
	b.switchWorkers(`{"crash": true}`)
	listing, err := b.client.Tasks(context.Background(), 1)
	is.NoErr(err)
	is.Equal(len(listing.Running()), 0)
	is.True(listing.Stamp().Incarnation() != before.Incarnation())
	is.True(!listing.Stamp().After(before))
}

// Guards against stops and checkpoints that leave the task running or give it
// the wrong result code.
func TestStopAndCheckpoint(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	ctx := context.Background()
	is.NoErr(b.start("a", `{"run_ms":60000}`, nil))
	is.NoErr(b.client.Throttle(ctx, 1, refOf("a"), 50))
	is.NoErr(b.client.Stop(ctx, 1, refOf("a")))
	events, err := b.client.Events(ctx, 0, time.Second)
	is.NoErr(err)
	is.Equal(events.Outcomes()[0].Outcome().Code(), order.CancelledRunning)
	is.NoErr(b.start("b", `{"run_ms":60000}`, nil))
	is.NoErr(b.client.Checkpoint(ctx, 1, refOf("b")))
	events, err = b.client.Events(ctx, events.Next(), time.Second)
	is.NoErr(err)
	is.True(events.Outcomes()[0].Outcome().Checkpointed())
}

// Guards against an outcome whose body was truncated and is still accepted.
func TestTruncatedBodyIsRejected(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	is.NoErr(b.start("a", `{"run_ms":1,"result":"whole"}`, nil))
	truncating := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		b.workers.ServeHTTP(recorder, r)
		truncated := bytes.ReplaceAll(recorder.Body.Bytes(), []byte(`"d2hvbGU="`), []byte(`"d2hv"`))
		_, _ = w.Write(truncated)
	}))
	defer truncating.Close()
	client := dispatch.NewClient("w1", truncating.URL+"/w/w1")
	defer client.Close()
	_, err := client.Events(context.Background(), 0, time.Second)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "incomplete"))
}
