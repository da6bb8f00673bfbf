package sheet

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/depot"
	"chervilhollow/order"
	"chervilhollow/tide"
)

type (
	// Watcher keeps the newest configuration that it has seen in the store or
	// got from peers. It never goes back to a lower revision.
	Watcher struct {
		store  depot.Store
		clock  tide.Clock
		sender order.Sender
		log    zerolog.Logger
		wait   time.Duration

		current atomic.Pointer[Config]

		mu          sync.Mutex
		subscribers map[*Subscription]struct{}
	}

	// WatcherOption changes a Watcher when it is made.
	WatcherOption func(*Watcher)

	// Subscription tells one subscriber of new configurations. A notice is
	// replaced by a newer one while it has not been read.
	Subscription struct {
		watcher *Watcher
		configs chan *Config
	}
)

const watchWait = 30 * time.Second

// WithSender sets how peers are answered and asked.
func WithSender(sender order.Sender) WatcherOption {
	return func(w *Watcher) { w.sender = sender }
}

// WithWatcherLog sets the log.
func WithWatcherLog(log zerolog.Logger) WatcherOption {
	return func(w *Watcher) { w.log = log }
}

// NewWatcher returns a watcher that holds the empty configuration of revision
// zero until it has read a newer one.
func NewWatcher(store depot.Store, clock tide.Clock, opts ...WatcherOption) *Watcher {
	w := &Watcher{
		store:       store,
		clock:       clock,
		log:         zerolog.Nop(),
		wait:        watchWait,
		subscribers: make(map[*Subscription]struct{}),
	}
	w.current.Store(NewConfig(0))
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Current returns the newest known configuration.
func (w *Watcher) Current() *Config { return w.current.Load() }

// Revision returns the revision of the newest known configuration.
func (w *Watcher) Revision() order.Revision { return w.Current().revision }

// Subscribe returns a subscription that tells of each newer configuration.
func (w *Watcher) Subscribe() *Subscription {
	s := &Subscription{watcher: w, configs: make(chan *Config, 1)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.subscribers[s] = struct{}{}
	return s
}

// C returns the channel of new configurations.
func (s *Subscription) C() <-chan *Config { return s.configs }

// Close ends the subscription; no notice arrives after it.
func (s *Subscription) Close() {
	s.watcher.mu.Lock()
	defer s.watcher.mu.Unlock()
	delete(s.watcher.subscribers, s)
}

// Run follows the root record with one watch until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	p := newPause(w.clock)
	for ctx.Err() == nil {
		err := w.follow(ctx, p)
		if ctx.Err() != nil {
			break
		}
		if !errors.Is(err, depot.ErrCompacted) {
			w.log.Warn().Err(err).Msg("sheet: configuration watch failed, starting it again")
		}
		if p.wait(ctx) != nil {
			break
		}
	}
	return nil
}

// follow reads the configuration and watches it until a call fails.
func (w *Watcher) follow(ctx context.Context, p *pause) error {
	after, err := w.load(ctx)
	if err != nil {
		return err
	}
	p.reset()
	for {
		events, reached, err := w.store.Watch(ctx, rootKey, after, w.wait)
		if err != nil {
			return err
		}
		if len(events) > 0 {
			if err := w.read(ctx, events[len(events)-1].Entry()); err != nil {
				return err
			}
		}
		after = reached
	}
}

// load reads the configuration and returns the version to watch from.
func (w *Watcher) load(ctx context.Context) (depot.Version, error) {
	entries, version, err := w.store.List(ctx, rootKey)
	if err != nil {
		return 0, fmt.Errorf("read configuration: %w", err)
	}
	for _, entry := range entries {
		if entry.Key() != rootKey {
			continue
		}
		if err := w.read(ctx, entry); err != nil {
			return 0, err
		}
	}
	return version, nil
}

// read takes over the configuration of a root entry. If its snapshot has been
// replaced meanwhile, the record is read again.
func (w *Watcher) read(ctx context.Context, entry depot.Entry) error {
	if !entry.Exists() || len(entry.Value()) == 0 {
		return nil
	}
	base, err := baseOf(ctx, w.store, w.Current(), entry)
	if errors.Is(err, errSnapshotMissing) {
		base, err = readBase(ctx, w.store, w.Current())
	}
	if err != nil {
		return err
	}
	w.advance(base.config)
	return nil
}

// Offer takes over a configuration from a peer if it is newer.
func (w *Watcher) Offer(revision order.Revision, document []byte) error {
	if revision <= w.Revision() {
		return nil
	}
	c, err := DecodeConfig(document)
	if err != nil {
		return err
	}
	if c.revision != revision {
		return fmt.Errorf("offered as revision %d, document has %d", revision, c.revision)
	}
	w.advance(c)
	return nil
}

// Ask asks a peer for its configuration if that is newer.
func (w *Watcher) Ask(peer order.MemberID) error {
	if w.sender == nil {
		return errors.New("watcher has no sender")
	}
	return w.sender.Send(peer, order.ConfigRequestMsg{}.WithSince(w.Revision()))
}

// Handle answers a peer that asks for a newer configuration, and takes over
// the answer of a peer. It ignores other messages.
func (w *Watcher) Handle(from order.MemberID, m order.Msg) {
	switch m := m.(type) {
	case order.ConfigRequestMsg:
		if err := w.reply(from, m.Since()); err != nil {
			w.log.Debug().Err(err).Str("peer", string(from)).Msg("sheet: configuration not sent to peer")
		}
	case order.ConfigReplyMsg:
		if err := w.Offer(m.Revision(), m.Document()); err != nil {
			w.log.Warn().Err(err).Str("peer", string(from)).Msg("sheet: configuration of peer refused")
		}
	}
}

func (w *Watcher) reply(to order.MemberID, since order.Revision) error {
	c := w.Current()
	if w.sender == nil || c.revision <= since {
		return nil
	}
	document, err := EncodeConfig(c)
	if err != nil {
		return err
	}
	reply := order.ConfigReplyMsg{}.WithRevision(c.revision).WithDocument(document)
	return w.sender.Send(to, reply)
}

// advance makes the configuration the current one if it is newer, and tells
// the subscribers.
func (w *Watcher) advance(c *Config) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.revision <= w.Current().revision {
		return
	}
	w.current.Store(c)
	w.log.Info().Uint64("revision", uint64(c.revision)).Msg("sheet: new configuration in force")
	for s := range w.subscribers {
		s.replace(c)
	}
}

// replace drops the unread notice. Only the watcher writes to the channel,
// under its lock, so the second send finds room.
func (s *Subscription) replace(c *Config) {
	select {
	case <-s.configs:
	default:
	}
	s.configs <- c
}
