package sheet

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"chervilhollow/order"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

type (
	// Watcher holds the newest configuration that it has received from the
	// store or from peers. Its revision never decreases. Its methods may be
	// called concurrently.
	Watcher struct {
		store        storage.Store
		clock        timers.Clock
		sender       order.Sender
		log          zerolog.Logger
		watchTimeout time.Duration

		current atomic.Pointer[Config]

		mu          sync.Mutex
		subscribers map[*Subscription]struct{}
	}

	// WatcherOption changes one setting in NewWatcher.
	WatcherOption func(*Watcher)

	// Subscription delivers new configurations to one subscriber. A
	// configuration that has not been received yet is replaced by a newer one.
	Subscription struct {
		watcher *Watcher
		configs chan *Config
	}
)

// watchTimeout is how long one long poll of the store lasts.
const watchTimeout = 30 * time.Second

// WithSender sets the sender for requests to peers and for replies to them.
// Without it RequestConfig fails, and requests from peers are ignored.
func WithSender(sender order.Sender) WatcherOption {
	return func(w *Watcher) { w.sender = sender }
}

// WithWatcherLog sets the log; by default nothing is logged.
func WithWatcherLog(log zerolog.Logger) WatcherOption {
	return func(w *Watcher) { w.log = log }
}

// NewWatcher returns a watcher with the empty configuration of revision zero.
// It reads the store once Run is called.
func NewWatcher(store storage.Store, clock timers.Clock, opts ...WatcherOption) *Watcher {
	w := &Watcher{
		store:        store,
		clock:        clock,
		log:          zerolog.Nop(),
		watchTimeout: watchTimeout,
		subscribers:  make(map[*Subscription]struct{}),
	}
	w.current.Store(NewConfig(0))
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Current returns the newest configuration. It is never nil.
func (w *Watcher) Current() *Config { return w.current.Load() }

// Revision returns the revision of the newest configuration, which is zero
// until one has been received.
func (w *Watcher) Revision() order.Revision { return w.Current().revision }

// Subscribe returns a subscription to all later configurations. The caller must
// close it.
func (w *Watcher) Subscribe() *Subscription {
	s := &Subscription{watcher: w, configs: make(chan *Config, 1)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.subscribers[s] = struct{}{}
	return s
}

// C returns the channel of new configurations. Close does not close it.
func (s *Subscription) C() <-chan *Config { return s.configs }

// Close ends the subscription. No configuration is sent after it returns.
func (s *Subscription) Close() {
	s.watcher.mu.Lock()
	defer s.watcher.mu.Unlock()
	delete(s.watcher.subscribers, s)
}

// Run watches the root record in the store until the context ends, and restarts
// a failed watch with backoff. It returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	retry := newRetryBackoff(w.clock)
	for ctx.Err() == nil {
		err := w.watchRoot(ctx, retry)
		if ctx.Err() != nil {
			break
		}
		if !errors.Is(err, storage.ErrCompacted) {
			w.log.Warn().Err(err).Msg("sheet: configuration watch failed, retrying")
		}
		if retry.wait(ctx) != nil {
			break
		}
	}
	return nil
}

// watchRoot reads the configuration and watches the root record until a call
// fails. It resets the backoff once the configuration has been read.
func (w *Watcher) watchRoot(ctx context.Context, retry *retryBackoff) error {
	after, err := w.load(ctx)
	if err != nil {
		return err
	}
	retry.reset()
	for {
		events, reached, err := w.store.Watch(ctx, rootKey, after, w.watchTimeout)
		if err != nil {
			return err
		}
		if len(events) > 0 {
			if err := w.applyEntry(ctx, events[len(events)-1].Entry()); err != nil {
				return err
			}
		}
		after = reached
	}
}

// load reads the configuration and returns the version to watch from.
func (w *Watcher) load(ctx context.Context) (storage.Version, error) {
	entries, version, err := w.store.List(ctx, rootKey)
	if err != nil {
		return 0, fmt.Errorf("read configuration: %w", err)
	}
	for _, entry := range entries {
		if entry.Key() != rootKey {
			continue
		}
		if err := w.applyEntry(ctx, entry); err != nil {
			return 0, err
		}
	}
	return version, nil
}

// applyEntry makes the configuration of a root entry the current one if it is
// newer. If the entry's snapshot was deleted meanwhile, it reads the root
// record again.
func (w *Watcher) applyEntry(ctx context.Context, entry storage.Entry) error {
	if !entry.Exists() || len(entry.Value()) == 0 {
		return nil
	}
	base, err := buildBase(ctx, w.store, w.Current(), entry)
	if errors.Is(err, errSnapshotMissing) {
		base, err = readBase(ctx, w.store, w.Current())
	}
	if err != nil {
		return err
	}
	w.setCurrent(base.config)
	return nil
}

// Offer makes a peer's encoded configuration the current one if it is newer. It
// returns an error if the document cannot be decoded or has another revision.
func (w *Watcher) Offer(revision order.Revision, document []byte) error {
	if revision <= w.Revision() {
		return nil
	}
	c, err := DecodeConfig(document)
	if err != nil {
		return err
	}
	if c.revision != revision {
		return fmt.Errorf("document offered as revision %d has revision %d", revision, c.revision)
	}
	w.setCurrent(c)
	return nil
}

// RequestConfig requests a peer's configuration, which the peer sends if it is
// newer than the current one. It does not wait for the reply; Handle receives
// it.
func (w *Watcher) RequestConfig(peer order.MemberID) error {
	if w.sender == nil {
		return errors.New("watcher has no sender")
	}
	return w.sender.Send(peer, order.ConfigRequestMsg{}.WithSince(w.Revision()))
}

// Handle replies to a peer's request for a newer configuration, and passes a
// peer's reply to Offer. It ignores other messages.
func (w *Watcher) Handle(from order.MemberID, m order.Msg) {
	switch m := m.(type) {
	case order.ConfigRequestMsg:
		if err := w.sendNewer(from, m.Since()); err != nil {
			w.log.Debug().Err(err).Str("peer", string(from)).Msg("sheet: configuration not sent to peer")
		}
	case order.ConfigReplyMsg:
		if err := w.Offer(m.Revision(), m.Document()); err != nil {
			w.log.Warn().Err(err).Str("peer", string(from)).Msg("sheet: configuration from peer rejected")
		}
	}
}

// sendNewer sends the current configuration if it is newer than the revision.
func (w *Watcher) sendNewer(to order.MemberID, since order.Revision) error {
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

// setCurrent makes the configuration the current one if it is newer, and sends
// it to the subscribers.
func (w *Watcher) setCurrent(c *Config) {
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

// replace replaces a configuration that was not received yet. Only the watcher
// sends to the channel, under its lock, so the send does not block.
func (s *Subscription) replace(c *Config) {
	select {
	case <-s.configs:
	default:
	}
	s.configs <- c
}
