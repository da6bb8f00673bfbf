package entryhost

import (
	"context"
	"time"

	"chervilhollow/order"
	"chervilhollow/scheduler"
)

const (
	// heartbeatInterval is the time between two heartbeats.
	heartbeatInterval = 250 * time.Millisecond

	// heartbeatTick is how often the process checks whether its access to the
	// store has changed. A change is sent at once, without waiting for the
	// next heartbeat.
	heartbeatTick = 50 * time.Millisecond

	// commitFailureTimeout is how long commits may fail before the owner
	// reports the store as unreachable. A commit whose answer was lost is
	// retried sooner than that.
	commitFailureTimeout = 200 * time.Millisecond

	// isolationTimeout is how long an owner without a link to any other host
	// keeps the cell. If no other host claims it and the same host has to own
	// it again, isolationCooldown has to pass before the next release.
	isolationTimeout  = 1500 * time.Millisecond
	isolationCooldown = 20 * time.Second

	// storeTimeout is how old the last answered call to the store may be
	// before the owner reports the store as unreachable. The owner renews its
	// lease every 300 ms.
	storeTimeout = 700 * time.Millisecond

	// confirmTimeout is how old the last confirmation of the ownership may be
	// before the owner reports the store as unreachable. It starts no tasks
	// once the confirmation is older than the bound on cancellations, 3 s.
	confirmTimeout = 2 * time.Second

	// storeReportTTL is how long another host's report that it reaches the
	// store is valid.
	storeReportTTL = 1200 * time.Millisecond
)

// runHeartbeat sends heartbeats to the other hosts and resends calls without a
// reply, until the context ends.
func (h *Host) runHeartbeat(ctx context.Context) error {
	ticks := h.clock.Subscribe(heartbeatTick)
	defer ticks.Close()
	var lastSent time.Time
	reachable := true
	for {
		select {
		case now := <-ticks.C():
			changed := h.storeReachable() != reachable
			if now.Sub(lastSent) >= heartbeatInterval || changed {
				lastSent, reachable = now, h.storeReachable()
				h.sendHeartbeat(reachable)
				h.releaseIfIsolated(now)
			}
			h.passHeld()
			h.forwarder.Resend()
		case <-ctx.Done():
			return nil
		}
	}
}

// storeReachable reports whether this process has access to the store: neither
// its commits nor its other calls have failed for too long, and if it is the
// owner, the store has confirmed that lately.
func (h *Host) storeReachable() bool {
	h.mu.Lock()
	cell := h.runner
	h.mu.Unlock()
	if cell != nil && cell.StoreFailingFor() > commitFailureTimeout {
		return false
	}
	if _, _, isOwner := h.elector.Owner(); isOwner && h.elector.ConfirmedAge() > confirmTimeout {
		return false
	}
	return h.elector.StoreAge() < storeTimeout
}

// releaseIfIsolated releases the cell if this host owns it and has lost its
// links to all other hosts. They cannot reach this owner, and one of them can
// serve more callers.
func (h *Host) releaseIfIsolated(now time.Time) {
	_, _, isOwner := h.elector.Owner()
	h.mu.Lock()
	if len(h.links) > 0 || !isOwner {
		h.lastLinked = now
		h.everLinked = h.everLinked || len(h.links) > 0
	}
	isolated := h.everLinked && now.Sub(h.lastLinked) > isolationTimeout && now.Sub(h.lastReleased) > isolationCooldown
	if isolated {
		h.lastReleased = now
	}
	h.mu.Unlock()
	if isolated {
		h.log.Warn().Msg("pier: cell released, no link to any other host")
		h.settleCell()
		h.elector.Release(context.Background(), h.stopCell())
	}
}

// sendHeartbeat sends one heartbeat: the owner sends to every linked host, any
// other host sends to the owner. reachable reports whether the owner has access
// to the store. An owner also pauses or resumes new starts in its cell.
func (h *Host) sendHeartbeat(reachable bool) {
	owner, epoch, isOwner := h.elector.Owner()
	if !isOwner {
		if owner != "" && owner != h.self {
			h.send(owner, order.HostHeartbeatMsg{}.WithEpoch(epoch).WithStoreReachable(h.elector.ReachesStore()))
		}
		return
	}
	h.mu.Lock()
	peers := make([]order.MemberID, 0, len(h.links))
	for peer := range h.links {
		peers = append(peers, peer)
	}
	peerReachesStore := false
	for _, r := range h.storeReports {
		peerReachesStore = peerReachesStore || (r.reachable && h.clock.Now().Sub(r.received) < storeReportTTL)
	}
	isolated := len(h.links) == 0
	h.mu.Unlock()
	m := order.OwnerHeartbeatMsg{}.WithEpoch(epoch).WithStoreReachable(reachable).WithLeaving(h.stopping.Load())
	for _, peer := range peers {
		h.send(peer, m)
	}
	// An owner without access to the store must not start tasks if another
	// process may own the cell by now: one that still reaches the store, or
	// one that this host has no link to. One that stops starts none either.
	h.sendToCell(scheduler.NewPauseMsg(h.stopping.Load() || !reachable && (peerReachesStore || isolated)))
}

func (h *Host) send(to order.MemberID, m order.Msg) {
	if err := h.node.Send(to, m); err != nil {
		h.log.Debug().Err(err).Str("to", string(to)).Msg("pier: message not sent")
	}
}
