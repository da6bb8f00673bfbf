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
		lastCall uint64
		pending  map[uint64]*pendingCall

		abort     chan struct{}
		abortOnce sync.Once
	}

	// pendingCall is a call without a reply. attempts counts how often it was
	// passed to the sender, including failed sends; it is 0 while no owner is
	// known.
	pendingCall struct {
		msg      order.JobCallMsg
		reply    chan order.JobReplyMsg
		lastSent time.Time
		attempts int
	}
)

const (
	// resendInterval is how long a call waits for a reply before it is resent.
	// The owner commits before it replies, and a commit takes up to 240 ms
	// while the store is slow.
	resendInterval = 700 * time.Millisecond

	// ownerTimeout is how long a call waits until an owner is known. A
	// takeover takes about as long.
	ownerTimeout = 1200 * time.Millisecond
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
	return &Forwarder{self: self, sender: sender, clock: clock, registry: registry, log: log, pending: make(map[uint64]*pendingCall), abort: make(chan struct{})}
}

// Call forwards the call and waits for the reply. Calls are idempotent, so a
// call is resent, also to a new owner, until it gets a reply. The error is
// ErrNoOwner or ErrNoReply.
func (f *Forwarder) Call(ctx context.Context, m order.JobCallMsg) (order.JobReplyMsg, error) {
	started := f.clock.Now()
	p := &pendingCall{reply: make(chan order.JobReplyMsg, 1)}
	f.mu.Lock()
	f.lastCall++
	id := f.lastCall
	p.msg = m.WithCall(id)
	f.pending[id] = p
	f.send(p)
	f.mu.Unlock()
	defer f.remove(id)
	ownerDeadline := f.clock.After(ownerTimeout)
	for {
		select {
		case r := <-p.reply:
			f.registry.Observe("pier.call."+m.Verb().String(), f.clock.Now().Sub(started))
			return r, nil
		case <-ownerDeadline:
			if f.attempts(p) == 0 {
				return order.JobReplyMsg{}, f.recordFailure(m, p, ErrNoOwner)
			}
		case <-ctx.Done():
			return order.JobReplyMsg{}, f.recordFailure(m, p, f.unansweredError(p))
		case <-f.abort:
			return order.JobReplyMsg{}, f.recordFailure(m, p, f.unansweredError(p))
		}
	}
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

// send sends the call to the owner, if one is known. The lock must be held.
func (f *Forwarder) send(p *pendingCall) {
	if f.owner == "" {
		return
	}
	p.lastSent = f.clock.Now()
	p.attempts++
	if err := f.sender.Send(f.owner, p.msg); err != nil {
		f.log.Warn().Err(err).Str("owner", string(f.owner)).Msg("pier: call not sent")
	}
}

// SetOwner sets the owner of the cell. If it has changed, all pending calls
// are sent to the new one.
func (f *Forwarder) SetOwner(owner order.MemberID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.owner == owner {
		return
	}
	f.owner = owner
	for _, p := range f.pending {
		f.send(p)
	}
}

// Resend resends the pending calls that were last sent at least resendInterval
// ago.
func (f *Forwarder) Resend() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, p := range f.pending {
		if now.Sub(p.lastSent) >= resendInterval {
			f.registry.Count("pier.resent")
			f.send(p)
		}
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
