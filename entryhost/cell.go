package entryhost

import (
	"context"
	"sync"
	"time"

	"chervilhollow/election"
	"chervilhollow/order"
	"chervilhollow/scheduler"
	"chervilhollow/storage"
)

const (
	// recoverRetryDelay is the delay before a failed read of the stored state
	// is retried.
	recoverRetryDelay = 100 * time.Millisecond

	// settleTimeout is how long a release of the cell waits for the results of
	// open starts, which is checked every settleInterval.
	settleTimeout  = 300 * time.Millisecond
	settleInterval = 5 * time.Millisecond

	// workerWatchPause is the pause between two answers of the workers' watch,
	// so that several heartbeats arrive in one answer. It stays well below the
	// 2 s within which a draining worker must get no new tasks.
	workerWatchPause = 150 * time.Millisecond
)

// followOwnership starts and stops the cell and updates the owner as the
// elector reports changes, until the context ends.
func (h *Host) followOwnership(ctx context.Context) error {
	for {
		select {
		case e := <-h.elector.Events():
			switch e := e.(type) {
			case election.OwnerEvent:
				h.setOwner(e)
			case election.AcquiredEvent:
				h.startCell(e)
			case election.LostEvent:
				h.stopCell()
			case election.ConfirmedEvent:
				h.sendToCell(scheduler.NewConfirmedMsg(e.Epoch(), e.At(), e.Suspended()))
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// setOwner forwards calls to the owner in the event and opens a link to it.
func (h *Host) setOwner(e election.OwnerEvent) {
	if e.Member() == "" {
		return
	}
	h.forwarder.SetOwner(e.Member(), e.Epoch())
	if e.Member() != h.self {
		h.node.Connect(e.Member())
	}
}

// startCell recovers the cell and runs it on a new goroutine, after it has
// stopped the cell that ran before.
func (h *Host) startCell(e election.AcquiredEvent) {
	h.stopCell()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	h.mu.Lock()
	if h.stopping.Load() {
		h.mu.Unlock()
		cancel()
		return
	}
	h.cancelCell, h.cellDone = cancel, done
	h.mu.Unlock()
	go func() {
		defer close(done)
		err := h.runCell(ctx, e)
		if err != nil && ctx.Err() == nil {
			h.log.Warn().Err(err).Msg("pier: cell failed")
			h.elector.StepDown(err.Error())
		}
		h.log.Info().Uint64("epoch", uint64(e.Epoch())).Msg("pier: cell stopped")
	}()
}

// stopCell stops the running cell, if any, and waits until it has ended. It
// returns the epoch of the cell if its leases were settled, and else zero.
func (h *Host) stopCell() order.Epoch {
	h.mu.Lock()
	cancel, done := h.cancelCell, h.cellDone
	h.runner, h.cancelCell, h.cellDone, h.settledEpoch = nil, nil, nil, 0
	h.mu.Unlock()
	if cancel == nil {
		return 0
	}
	cancel()
	<-done
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.settledEpoch
}

// settleCell pauses the cell and waits until it is settled, for settleTimeout at
// the most. Starts without a response would keep the next owner waiting.
func (h *Host) settleCell() {
	h.sendToCell(scheduler.NewPauseMsg(true))
	h.mu.Lock()
	cell := h.runner
	h.mu.Unlock()
	expired := h.clock.After(settleTimeout)
	for cell != nil && !cell.Settled() {
		select {
		case <-h.clock.After(settleInterval):
		case <-expired:
			return
		}
	}
}

// runCell restores the cell from the store, then runs it together with the
// watch of the workers' entries.
func (h *Host) runCell(ctx context.Context, e election.AcquiredEvent) error {
	started := h.clock.Now()
	m := scheduler.New(h.self, e.Epoch(), e.Record(), h.limits, started, h.registry, h.log)
	m.Handle(started, scheduler.NewConfirmedMsg(e.Epoch(), e.ClaimedAt(), e.Suspended()))
	if e.Released() {
		m.PredecessorReleased()
	}
	if err := h.restore(ctx, m, e); err != nil {
		return err
	}
	cell := scheduler.NewRunner(m, h.clock, h.deps.store, h.deps.workers, h.node, h.log)
	h.mu.Lock()
	h.runner = cell
	for peer := range h.links {
		h.passLink(peer)
	}
	h.decodeOperatorDocs()
	h.mu.Unlock()
	h.log.Info().Uint64("epoch", uint64(e.Epoch())).Dur("took", h.clock.Now().Sub(started)).Msg("pier: cell recovered")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Add(1)
	go func() {
		defer wg.Done()
		f := storage.NewFollower(h.deps.store, h.clock, h.deps.decoder.WorkerPrefix(), workerWatchPause, h.log,
			func(c storage.Change) { h.applyWorkerChange(ctx, cell, c) })
		// Run ends with the context and returns no error.
		_ = f.Run(ctx)
	}()
	err := cell.Run(ctx)
	cancel()
	if err == nil && m.Settled(h.clock.Now()) {
		h.mu.Lock()
		h.settledEpoch = e.Epoch()
		h.mu.Unlock()
	}
	return err
}

// restore reads the jobs and workers that earlier owners stored, and the
// operators' documents. It retries until the store answers. The ownership record
// is read last: if it has changed, a later owner may have written what was read,
// and restore returns scheduler.ErrLost.
func (h *Host) restore(ctx context.Context, m *scheduler.Scheduler, e election.AcquiredEvent) error {
	for ctx.Err() == nil {
		jobs, _, err := h.deps.store.List(ctx, scheduler.JobPrefix)
		var workers storage.Entry
		if err == nil {
			workers, err = h.deps.store.Get(ctx, scheduler.WorkersKey)
		}
		var operator []storage.Entry
		var version storage.Version
		if err == nil {
			operator, version, err = h.deps.store.List(ctx, h.deps.decoder.OperatorPrefix())
		}
		var record storage.Entry
		sent, suspended := h.clock.Now(), h.clock.Suspended()
		if err == nil {
			record, err = h.deps.store.Get(ctx, e.Record().Key())
		}
		if err == nil {
			if record.Version() != e.Record().Version() {
				return scheduler.ErrLost
			}
			m.Handle(h.clock.Now(), scheduler.NewConfirmedMsg(e.Epoch(), sent, suspended))
			h.replaceOperatorDocs(operator, version)
			m.Restore(jobs)
			m.RestoreWorkers(workers)
			return nil
		}
		h.log.Warn().Err(err).Msg("pier: stored state not read, retrying")
		select {
		case <-h.clock.After(recoverRetryDelay):
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// applyWorkerChange passes a change of the workers' entries to the cell. An
// entry that cannot be decoded counts as removed. It waits while the inbox is
// full, as the watch reports each change once.
func (h *Host) applyWorkerChange(ctx context.Context, runner *scheduler.Runner, c storage.Change) {
	if c.Err() != nil {
		h.log.Debug().Err(c.Err()).Msg("pier: workers' entries not read")
		return
	}
	infos, unreadable, deleted := h.decodeWorkers(c)
	removed := append(unreadable, deleted...)
	in := scheduler.NewWorkersMsg(infos, removed, c.IsSnapshot()).WithDeleted(deleted).WithChangedAfter(c.ChangedAfter())
	if err := runner.EnqueueWait(ctx, in); err != nil {
		h.log.Debug().Err(err).Msg("pier: workers not passed to the cell, which stops")
	}
}

// decodeWorkers returns the workers that the change adds or updates, those whose
// entries can't be read, and those whose entries it deletes. Of several events
// of an entry the last one counts.
func (h *Host) decodeWorkers(c storage.Change) (infos []scheduler.WorkerInfo, unreadable, deleted []order.WorkerID) {
	decode := func(e storage.Entry) {
		info, err := h.deps.decoder.DecodeWorker(e)
		if err != nil {
			h.registry.Count("pier.worker_unreadable")
			h.log.Warn().Err(err).Str("key", e.Key()).Msg("pier: worker's entry not decoded, worker not used")
			unreadable = append(unreadable, h.deps.decoder.WorkerID(e.Key()))
			return
		}
		infos = append(infos, info)
	}
	for _, e := range c.Entries() {
		decode(e)
	}
	last := make(map[string]int)
	for i, e := range c.Events() {
		last[e.Entry().Key()] = i
	}
	for i, e := range c.Events() {
		switch {
		case i != last[e.Entry().Key()]:
		case e.Deleted():
			deleted = append(deleted, h.deps.decoder.WorkerID(e.Entry().Key()))
		default:
			decode(e.Entry())
		}
	}
	return infos, unreadable, deleted
}
