package entryhost

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/timers"
)

type (
	// Forwarder forwards clients' calls to the owner of the cell and matches
	// the replies to them. It is safe for concurrent use.
	Forwarder struct {
		self     order.MemberID
		sender   order.Sender
		clock    timers.Clock
		registry *gauge.Registry
		log      zerolog.Logger

		mu       sync.Mutex
		owner    order.MemberID
		epoch    order.Epoch
		linked   map[order.MemberID]bool
		lastCall uint64
		pending  map[uint64]*pendingCall

		abort     chan struct{}
		abortOnce sync.Once
	}

	// pendingCall is a call without a reply. attempts counts how often it was
	// sent; it is 0 while there was no owner with a link.
	pendingCall struct {
		msg      order.JobCallMsg
		reply    chan order.JobReplyMsg
		failed   chan error
		started  time.Time
		lastSent time.Time
		attempts int
	}
)

const (
	// resendInterval is how long a call waits for a reply before it is resent.
	// The owner commits before it replies, and a commit takes up to 240 ms
	// while the store is slow.
	resendInterval = 700 * time.Millisecond

	// ownerTimeout is how long a call waits for an owner with a link before it
	// is refused. A planned handover is faster. A longer wait would take the
	// time that the caller needs for another attempt.
	ownerTimeout = 500 * time.Millisecond

	// lostOwnerTimeout is how long a call that was sent waits for a reply while
	// there is no link to an owner. It is less than half of the time that
	// callers wait.
	lostOwnerTimeout = 1300 * time.Millisecond
)

var (
	// ErrNoOwner reports a call that was never sent, so it had no effect.
	ErrNoOwner = errors.New("no owner of the cell is known")

	// ErrNoReply reports a call that was sent and got no reply in time, so it
	// may have had an effect.
	ErrNoReply = errors.New("no reply of the owner in time")
)

// NewForwarder returns a forwarder without an owner. Its calls wait for
// SetOwner.
func NewForwarder(self order.MemberID, sender order.Sender, clock timers.Clock, registry *gauge.Registry, log zerolog.Logger) *Forwarder {
	return &Forwarder{self: self, sender: sender, clock: clock, registry: registry, log: log, linked: map[order.MemberID]bool{self: true}, pending: make(map[uint64]*pendingCall), abort: make(chan struct{})}
}

// Call forwards the call and waits for the reply. Calls are idempotent, so a
// call is resent, also to a new owner, until it gets a reply. The error is
// ErrNoOwner or ErrNoReply.
func (f *Forwarder) Call(ctx context.Context, m order.JobCallMsg) (order.JobReplyMsg, error) {
	p := &pendingCall{reply: make(chan order.JobReplyMsg, 1), failed: make(chan error, 1), started: f.clock.Now()}
	f.mu.Lock()
	f.lastCall++
	id := f.lastCall
	p.msg = m.WithCall(id)
	f.pending[id] = p
	f.send(p)
	f.mu.Unlock()
	defer f.remove(id)
	select {
	case r := <-p.reply:
		f.registry.Observe("pier.call."+m.Verb().String(), f.clock.Now().Sub(p.started))
		return r, nil
	case err := <-p.failed:
		return order.JobReplyMsg{}, f.recordFailure(m, p, err)
	case <-ctx.Done():
	case <-f.abort:
	}
	return order.JobReplyMsg{}, f.recordFailure(m, p, f.unansweredError(p))
}

// unansweredError returns the error of a call without a reply: ErrNoOwner if
// it was never sent, else ErrNoReply.
func (f *Forwarder) unansweredError(p *pendingCall) error {
	if f.attempts(p) == 0 {
		return ErrNoOwner
	}
	return ErrNoReply
}

// Abort fails all pending and later calls, so that clients get a response
// before the process ends.
func (f *Forwarder) Abort() { f.abortOnce.Do(func() { close(f.abort) }) }

// recordFailure counts and logs a failed call and returns its error.
func (f *Forwarder) recordFailure(m order.JobCallMsg, p *pendingCall, err error) error {
	f.registry.Count("pier.gave_up." + m.Verb().String())
	f.log.Warn().Err(err).Stringer("verb", m.Verb()).Str("path", m.Path()).Int("tries", f.attempts(p)).Msg("pier: call not answered")
	return err
}

func (f *Forwarder) attempts(p *pendingCall) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return p.attempts
}

func (f *Forwarder) remove(id uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.pending, id)
}

// send sends the call to the owner, if there is a link to it. The lock must be
// held.
func (f *Forwarder) send(p *pendingCall) {
	if !f.linked[f.owner] {
		return
	}
	p.lastSent = f.clock.Now()
	if err := f.sender.Send(f.owner, p.msg); err != nil {
		f.log.Warn().Err(err).Str("owner", string(f.owner)).Msg("pier: call not sent")
		return
	}
	p.attempts++
}

// SetOwner sets the owner of the cell with its epoch. If either has changed, all
// pending calls are sent to it, since a new ownership knows nothing of them. An
// earlier owner is ignored: the watch of the store and a claim of this process
// report owners independently.
func (f *Forwarder) SetOwner(owner order.MemberID, epoch order.Epoch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if epoch < f.epoch || (owner == f.owner && epoch == f.epoch) {
		return
	}
	f.owner, f.epoch = owner, epoch
	f.sendPending()
}

// SetLink records that the link to another host was opened or lost. A call is
// only sent over an open link, so that one that waits has certainly had no
// effect. The process always reaches itself; it has short links to itself when
// it dials the address of its earlier run.
func (f *Forwarder) SetLink(peer order.MemberID, up bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if peer == f.self {
		return
	}
	if !up {
		delete(f.linked, peer)
		return
	}
	f.linked[peer] = true
	if peer == f.owner {
		f.sendPending()
	}
}

// sendPending sends all pending calls. The lock must be held.
func (f *Forwarder) sendPending() {
	for _, p := range f.pending {
		f.send(p)
	}
}

// Resend resends the pending calls that were last sent at least resendInterval
// ago, and fails those that have waited too long for an owner with a link.
func (f *Forwarder) Resend() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, p := range f.pending {
		if !f.linked[f.owner] {
			p.failWithoutOwner(now)
			continue
		}
		if now.Sub(p.lastSent) >= resendInterval {
			f.registry.Count("pier.resent")
			f.send(p)
		}
	}
}

// failWithoutOwner fails the call if it has waited too long.
func (p *pendingCall) failWithoutOwner(now time.Time) {
	var err error
	switch waited := now.Sub(p.started); {
	case p.attempts == 0 && waited >= ownerTimeout:
		err = ErrNoOwner
	case p.attempts > 0 && waited >= lostOwnerTimeout:
		err = ErrNoReply
	default:
		return
	}
	select {
	case p.failed <- err:
	default:
	}
}

// HandleReply passes a reply to the call that waits for it. A reply other than
// Done counts only if it comes from the current owner: a former owner may have
// outdated state, and so report that a job is unknown or refused.
func (f *Forwarder) HandleReply(from order.MemberID, m order.JobReplyMsg) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.pending[m.Call()]
	if !ok || (from != f.owner && m.Code() != order.Done) {
		f.registry.Count("pier.reply_dropped")
		return
	}
	select {
	case p.reply <- m:
	default:
	}
}
