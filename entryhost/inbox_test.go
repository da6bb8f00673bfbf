package entryhost

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/scheduler"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

type (
	// workerDecoder decodes each entry of the discovery as a worker.
	workerDecoder struct{ keyDecoder }

	// logRecorder records the lines of a log.
	logRecorder struct {
		mu    sync.Mutex
		lines strings.Builder
	}

	// pollRecorder is a scheduler.WorkerClient that records the polls and
	// answers none.
	pollRecorder struct{ polled chan order.WorkerID }
)

var errNoAnswer = errors.New("no answer")

func (workerDecoder) DecodeWorker(e storage.Entry) (scheduler.WorkerInfo, error) {
	return scheduler.NewWorkerInfo(order.WorkerID(e.Key()), "10.0.0.9:80", "press", "quay", order.NewResources(1000, 1<<30, 0)), nil
}

func (p *pollRecorder) Start(context.Context, scheduler.StartOrder) (int64, error) {
	return 0, errNoAnswer
}

func (p *pollRecorder) Stop(context.Context, scheduler.StopOrder) (int64, error) {
	return 0, errNoAnswer
}

func (p *pollRecorder) Poll(_ context.Context, o scheduler.PollOrder) (scheduler.Report, error) {
	select {
	case p.polled <- o.To().Worker():
	default:
	}
	return scheduler.Report{}, errNoAnswer
}

func (p *pollRecorder) Disconnect() {}

// Guards against a worker that the cell never learns of, because its inbox was
// full when the discovery listed the worker.
func TestFullInboxLosesNoWorkers(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	clock, registry, log := timers.New(), gauge.New(zerolog.Nop()), zerolog.Nop()
	memory := storage.NewMemory(clock)
	_, err := memory.Swap(ctx, "servers/w1", 0, []byte("{}"), 0)
	is.NoErr(err)
	workers := &pollRecorder{polled: make(chan order.WorkerID, 1)}
	limits := scheduler.NewLimits(time.Second, time.Minute)
	h := New("10.0.0.1:7000", "quay", "a secret of sixteen", NewDependencies(memory, workers, nil, workerDecoder{}), limits, clock, registry, log)
	m := scheduler.New(h.self, 1, storage.NewEntry("cell/owner", nil, 1), limits, clock.Now(), registry, log)
	cell := scheduler.NewRunner(m, clock, memory, workers, h.node, log)
	for cell.Enqueue(scheduler.NewPauseMsg(true)) == nil {
	}
	handled := make(chan struct{})
	follower := storage.NewFollower(memory, clock, "servers/", 0, log, func(c storage.Change) {
		h.applyWorkerChange(ctx, cell, c)
		close(handled)
	})
	ended := make(chan error, 2)
	go func() { ended <- follower.Run(ctx) }()
	select {
	case <-handled:
	case <-time.After(200 * time.Millisecond):
	}
	go func() { ended <- cell.Run(ctx) }()
	select {
	case id := <-workers.polled:
		is.Equal(id, order.WorkerID("servers/w1"))
	case <-time.After(5 * time.Second):
		t.Error("the listed worker was never polled")
	}
	cancel()
	is.NoErr(<-ended)
	is.NoErr(<-ended)
}

// Guards against a configuration or a link that the cell never learns of, because its inbox was full at the change.
func TestFullInboxLosesNoConfiguration(t *testing.T) {
	is := is.New(t)
	clock, registry, log := timers.New(), gauge.New(zerolog.Nop()), zerolog.Nop()
	memory := storage.NewMemory(clock)
	workers := &pollRecorder{polled: make(chan order.WorkerID, 1)}
	limits := scheduler.NewLimits(time.Second, time.Minute)
	h := New("10.0.0.1:7000", "quay", "a secret of sixteen", NewDependencies(memory, workers, nil, workerDecoder{}), limits, clock, registry, log)
	m := scheduler.New(h.self, 1, storage.NewEntry("cell/owner", nil, 1), limits, clock.Now(), registry, log)
	h.runner = scheduler.NewRunner(m, clock, memory, workers, h.node, log)
	for h.runner.Enqueue(scheduler.NewPauseMsg(true)) == nil {
	}
	h.handleLink("10.0.0.2:7000/b", true)
	h.mu.Lock()
	h.passConfig()
	held := h.configHeld && h.linksHeld["10.0.0.2:7000/b"]
	h.mu.Unlock()
	is.True(held)

	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	is.NoErr(h.runner.Run(ctx))
	h.passHeld()
	is.True(!h.configHeld)
	is.Equal(len(h.linksHeld), 0)
}

func (l *logRecorder) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.Write(p)
}

func (l *logRecorder) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.lines.String(), text)
}

// Guards against an idle owner that starts nothing, because its cell never learns that the store confirms the ownership.
func TestIdleOwnerMayStartTasks(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	recorder := &logRecorder{}
	clock, registry, log := timers.New(), gauge.New(zerolog.Nop()), zerolog.New(recorder)
	memory := storage.NewMemory(clock)
	workers := &pollRecorder{polled: make(chan order.WorkerID, 1)}
	limits := scheduler.NewLimits(10*time.Second, time.Minute).WithCancelBound(time.Second)
	h := New("10.0.0.1:7000", "quay", "a secret of sixteen", NewDependencies(memory, workers, nil, workerDecoder{}), limits, clock, registry, log)
	ended := make(chan error, 2)
	go func() { ended <- h.elector.Run(ctx) }()
	go func() { ended <- h.followOwnership(ctx) }()
	for !recorder.contains("cell recovered") {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(2500 * time.Millisecond)
	is.True(!recorder.contains("starts of tasks"))
	cancel()
	is.NoErr(<-ended)
	is.NoErr(<-ended)
	h.stopCell()
}
