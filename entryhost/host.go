// Package entryhost runs the process of an entry host. Every host accepts
// clients' calls and forwards them to the owner of the cell, and one host at a
// time is elected as that owner and schedules the cell's jobs. Start at Host.
package entryhost

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"chervilhollow/drain"
	"chervilhollow/election"
	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/policy"
	"chervilhollow/scheduler"
	"chervilhollow/storage"
	"chervilhollow/timers"
	"chervilhollow/transport"
)

type (
	// Decoder decodes the entries that operators and workers write to the
	// store. Its methods must be safe for concurrent use.
	Decoder interface {
		// OperatorPrefix returns the key prefix of the operators' documents.
		OperatorPrefix() string

		// DecodeOperator returns the configuration and the failure domains
		// taken out of use. The configuration is nil if there is none or if it
		// cannot be decoded.
		DecodeOperator(entries []storage.Entry) (*policy.Config, []order.DomainName, error)

		// WorkerPrefix returns the key prefix of the workers' entries.
		WorkerPrefix() string

		// WorkerID returns the ID of the worker with this key.
		WorkerID(key string) order.WorkerID

		// DecodeWorker returns the address, state and capacity that a worker
		// reports in its entry.
		DecodeWorker(e storage.Entry) (scheduler.WorkerInfo, error)
	}

	// Dependencies holds the clients of the services that a host uses, and
	// the decoder of their entries in the store.
	Dependencies struct {
		store   storage.Batcher
		workers scheduler.WorkerClient
		adviser scheduler.Adviser
		decoder Decoder
	}

	// Host forwards clients' calls to the owner of the cell, and runs the cell
	// while this process is the owner. Create it with New and call Run once.
	Host struct {
		self      order.MemberID
		domain    order.DomainName
		deps      Dependencies
		limits    scheduler.Limits
		clock     timers.Clock
		registry  *gauge.Registry
		log       zerolog.Logger
		node      *transport.Node
		elector   *election.Elector
		forwarder *Forwarder

		// reload is called on SIGHUP. It may be nil.
		reload func()

		stop     chan struct{}
		stopOnce sync.Once
		wg       sync.WaitGroup

		// ctx ends when Run returns.
		ctx    context.Context
		cancel context.CancelFunc

		// stopping is set once SIGTERM or SIGINT has arrived.
		stopping     atomic.Bool
		mu           sync.Mutex
		operatorDocs *storage.Mirror
		config       *policy.Config
		withdrawn    []order.DomainName
		links        map[order.MemberID]bool
		storeReports map[order.MemberID]storeReport

		// configHeld reports whether the cell lacks the present configuration,
		// and linksHeld has the links whose state it lacks, because its inbox
		// was full.
		configHeld bool
		linksHeld  map[order.MemberID]bool

		runner     *scheduler.Runner
		cancelCell context.CancelFunc
		cellDone   chan struct{}

		// settledEpoch is the epoch of the last cell that ended with its leases
		// settled.
		settledEpoch order.Epoch

		// lastLinked is when the host last had a link or did not own the cell,
		// and lastReleased when it last released the cell for lack of links.
		// A host that never had a link may be the only one, so everLinked
		// must be set before it releases the cell.
		lastLinked   time.Time
		everLinked   bool
		lastReleased time.Time
	}

	// Option configures a Host in New.
	Option func(*Host)

	// storeReport is what another host last reported about its access to the
	// store.
	storeReport struct {
		received  time.Time
		reachable bool
	}
)

const (
	// minOwnerCores is the share of a core that the owner of a cell of 350
	// workers needs (0.38 in quiet-1 at tagline-qld-grown). Smaller hosts wait
	// smallHostClaimDelay before they claim the cell, so that larger ones come
	// first. It is twice as long as a claim takes.
	minOwnerCores       = 0.39
	smallHostClaimDelay = 400 * time.Millisecond

	// probeTimeout bounds the connection attempt to the owner's address after
	// the link to the owner was lost.
	probeTimeout = 500 * time.Millisecond

	// drainDelay is how long calls are still accepted after SIGTERM. The
	// platform stops sending new clients within two readiness checks, which
	// are one second apart.
	drainDelay = 2500 * time.Millisecond

	// linkIdleTimeout is how long a link may be idle before it is replaced.
	// minDialBackoff and maxDialBackoff bound the delay between two attempts
	// to open one.
	linkIdleTimeout = 1500 * time.Millisecond
	minDialBackoff  = 50 * time.Millisecond
	maxDialBackoff  = 400 * time.Millisecond

	// headerTimeout bounds how long a client may take to send the headers of
	// a call, and idleTimeout how long its connection may be unused.
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second

	// shutdownTimeout is how long pending calls may take to finish after the
	// drain delay. Both together stay below the 6 s that the platform waits
	// before it kills the process.
	shutdownTimeout = 2000 * time.Millisecond

	// abortDelay is how long after the drain delay the pending calls fail. It
	// is below shutdownTimeout, so that their clients still get a response.
	abortDelay = 1200 * time.Millisecond

	// adviceTimeout bounds a call to the advice service, where up to 32 other
	// calls may be queued before it.
	adviceTimeout = 5 * time.Second
)

var (
	errStopping        = errors.New("stopping")
	errNoConfiguration = errors.New("no configuration")
	errNoOwner         = errors.New("no owner of the cell is heard")
)

// NewDependencies returns the dependencies of a host. All of them must be safe
// for concurrent use.
func NewDependencies(store storage.Batcher, workers scheduler.WorkerClient, adviser scheduler.Adviser, decoder Decoder) Dependencies {
	return Dependencies{store: store, workers: workers, adviser: adviser, decoder: decoder}
}

// New returns a host that other hosts reach at the address. The secret
// authenticates the links between them and is the same on all hosts.
func New(address string, domain order.DomainName, secret string, deps Dependencies, limits scheduler.Limits,
	clock timers.Clock, registry *gauge.Registry, log zerolog.Logger, opts ...Option) *Host {
	h := &Host{
		self: order.NewMemberID(address), domain: domain, deps: deps, limits: limits,
		clock: clock, registry: registry, log: log,
		stop:         make(chan struct{}),
		operatorDocs: storage.NewMirror(),
		links:        make(map[order.MemberID]bool),
		storeReports: make(map[order.MemberID]storeReport),
		linksHeld:    make(map[order.MemberID]bool),
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.node = transport.New(h.self, order.RolePlacer, domain, secret, clock, registry, log,
		transport.WithIdleTimeout(linkIdleTimeout), transport.WithBackoff(minDialBackoff, maxDialBackoff))
	h.elector = election.New(h.self, deps.store, clock, registry, log)
	h.forwarder = NewForwarder(h.self, h.node, clock, registry, log)
	h.node.OnMessage(h.handle)
	h.node.OnLink(h.handleLink)
	for _, opt := range opts {
		opt(h)
	}
	return h
}

// WithCores sets how many cores the process may use, which may be a fraction.
// A host too small to own a cell delays its claims, so that it owns the cell
// only if no larger host claims it.
func WithCores(cores float64) Option {
	return func(h *Host) {
		if cores < minOwnerCores {
			h.elector.SetClaimDelay(smallHostClaimDelay)
		}
	}
}

// WithReload sets the function that reads the settings again on SIGHUP.
func WithReload(reload func()) Option {
	return func(h *Host) { h.reload = reload }
}

// Call forwards a client's call to the owner of the cell and waits for the
// reply. The error is ErrNoOwner or ErrNoReply.
func (h *Host) Call(ctx context.Context, m order.JobCallMsg) (order.JobReplyMsg, error) {
	return h.forwarder.Call(ctx, m)
}

// BodyLimit returns the largest body size of a call, in bytes.
func (h *Host) BodyLimit() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.config == nil {
		return policy.DefaultBodyLimit
	}
	return h.config.BodyLimit()
}

// Configured reports whether the host has read a configuration.
func (h *Host) Configured() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.config != nil
}

// Stopping reports whether the host shuts down after a signal.
func (h *Host) Stopping() bool { return h.stopping.Load() }

// Ready returns nil if clients should connect to this host, or else an error
// with the reason. Its text is sent in the response of readiness checks.
func (h *Host) Ready() error {
	switch {
	case h.stopping.Load():
		return errStopping
	case !h.Configured():
		return errNoConfiguration
	case !h.elector.HasOwner():
		return errNoOwner
	}
	return nil
}

// Run serves until SIGTERM, SIGINT or Stop. The peers listener accepts links
// from other hosts; the servers listeners accept HTTP, for clients as well as
// for readiness checks and metrics.
func (h *Host) Run(peers net.Listener, servers map[net.Listener]http.Handler) error {
	var group run.Group
	// The group interrupts its actors in the order in which they are added.
	// The HTTP servers come first: pending calls need the links to other hosts
	// to finish.
	h.addServers(&group, servers)
	group.Add(func() error { return h.node.Serve(peers) }, func(error) { h.node.Close() })
	for _, part := range []func(context.Context) error{
		h.elector.Run, h.watchOperatorDocs, h.followOwnership, h.runHeartbeat,
	} {
		ctx, cancel := context.WithCancel(context.Background())
		group.Add(func() error { return part(ctx) }, func(error) { cancel() })
	}
	// The process handles signals until Run returns: without a handler SIGHUP
	// would end it with the calls that are still pending.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	group.Add(func() error { return h.awaitStop(signals) }, func(error) { h.Stop() })
	h.log.Info().Str("member", string(h.self)).Str("domain", string(h.domain)).Msg("pier: started")
	err := group.Run()
	h.stopCell()
	h.cancel()
	h.wg.Wait()
	h.log.Info().Err(err).Msg("pier: stopped")
	return err
}

// addServers adds the HTTP servers to the group. They shut down together,
// before the group interrupts what was added later.
func (h *Host) addServers(group *run.Group, handlers map[net.Listener]http.Handler) {
	var servers []*drain.Server
	for l, handler := range handlers {
		server := drain.New(&http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}, h.clock)
		servers = append(servers, server)
		group.Add(func() error { return server.Serve(l) }, func(error) { h.shutDown(servers) })
	}
}

// shutDown waits until the servers have shut down. It may be called again.
func (h *Host) shutDown(servers []*drain.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, server := range servers {
		wg.Go(func() {
			if err := server.Shutdown(ctx); err != nil {
				h.log.Warn().Err(err).Msg("pier: HTTP server not shut down cleanly")
			}
		})
	}
	wg.Wait()
}

// Stop ends Run at once, without the drain delay that follows a signal. It may
// be called more than once.
func (h *Host) Stop() { h.stopOnce.Do(func() { close(h.stop) }) }

// awaitStop returns after Stop, or after a signal and the drain delay. On a
// signal it releases the cell first, so that another host can take over while
// this one still forwards calls.
func (h *Host) awaitStop(signals <-chan os.Signal) error {
	for {
		select {
		case <-h.stop:
			return nil
		case s := <-signals:
			if s == syscall.SIGHUP {
				if h.reload != nil {
					h.reload()
				}
				continue
			}
			h.log.Info().Str("signal", s.String()).Msg("pier: stopping")
			h.stopping.Store(true)
			h.sendHeartbeat(h.storeReachable())
			h.settleCell()
			h.elector.Leave(context.Background(), h.stopCell())
			select {
			case <-h.clock.After(drainDelay):
			case <-h.stop:
			}
			h.scheduleAbort()
			return nil
		}
	}
}

// scheduleAbort fails the calls that are still pending after abortDelay, so
// that they get a response before the server shuts down.
func (h *Host) scheduleAbort() {
	expired := h.clock.After(abortDelay)
	go func() {
		<-expired
		h.forwarder.Abort()
	}()
}

// handle dispatches a message from another host. It never blocks.
func (h *Host) handle(from order.MemberID, m order.Msg) {
	switch m := m.(type) {
	case order.JobCallMsg:
		h.sendToCell(scheduler.NewCallMsg(from, m))
	case order.JobReplyMsg:
		h.forwarder.HandleReply(from, m)
	case order.OwnerHeartbeatMsg:
		h.elector.HandleHeartbeat(from, m)
		h.sendNewerOwner(from, m.Epoch())
	case order.HostHeartbeatMsg:
		h.recordStoreReport(from, m)
		h.sendNewerOwner(from, m.Epoch())
	case order.OwnerMsg:
		h.elector.HandleOwner(m)
	case order.AdviceRequestMsg:
		h.wg.Add(1)
		go func() {
			defer h.wg.Done()
			h.advise(from, m)
		}()
	case order.AdviceReplyMsg:
		h.sendToCell(scheduler.NewAdviceMsg(from, m))
	default:
		h.registry.Count("pier.unknown_message")
	}
}

// sendToCell queues an input for the cell. It drops the input if this host does
// not run the cell or the queue is full. The sender of a dropped call resends
// it, to the new owner if there is one.
func (h *Host) sendToCell(in scheduler.Msg) {
	h.mu.Lock()
	cell := h.runner
	h.mu.Unlock()
	if cell == nil {
		h.registry.Count("pier.no_cell_here")
		return
	}
	if err := cell.Enqueue(in); err != nil {
		h.registry.Count("pier.inbox_full")
		h.log.Warn().Err(err).Msg("pier: input for the cell dropped")
	}
}

// sendNewerOwner sends the current owner to a host whose message carries an
// older epoch. That host may have no access to the store, so that it cannot
// read the owner itself.
func (h *Host) sendNewerOwner(from order.MemberID, epoch order.Epoch) {
	owner, current, _ := h.elector.Owner()
	if current > epoch {
		h.send(from, order.OwnerMsg{}.WithMember(owner).WithEpoch(current))
	}
}

func (h *Host) recordStoreReport(from order.MemberID, m order.HostHeartbeatMsg) {
	h.mu.Lock()
	h.storeReports[from] = storeReport{received: h.clock.Now(), reachable: m.StoreReachable()}
	h.mu.Unlock()
}

// handleLink records that the link to a host was opened or lost. If it was the
// link to the owner, the owner is probed.
func (h *Host) handleLink(peer order.MemberID, up bool) {
	h.log.Info().Str("peer", string(peer)).Bool("up", up).Msg("pier: link")
	h.mu.Lock()
	if up {
		h.links[peer] = true
	} else {
		delete(h.links, peer)
		delete(h.storeReports, peer)
	}
	h.passLink(peer)
	h.mu.Unlock()
	h.forwarder.SetLink(peer, up)
	if owner, _, _ := h.elector.Owner(); !up && peer == owner {
		h.wg.Add(1)
		go func() {
			defer h.wg.Done()
			h.probeOwner(owner)
		}()
	}
}

// probeOwner connects to the owner's address. If the connection is refused, the
// owner's process has ended, and the elector may claim the cell at once.
func (h *Host) probeOwner(owner order.MemberID) {
	address, _, _ := strings.Cut(string(owner), "/")
	c, err := net.DialTimeout("tcp", address, probeTimeout)
	if err == nil {
		c.Close()
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		h.elector.MarkDead(owner)
		return
	}
	h.log.Info().Err(err).Str("owner", string(owner)).Msg("pier: owner not reached")
}

// advise calls the advice service for the owner and sends the result back.
func (h *Host) advise(from order.MemberID, m order.AdviceRequestMsg) {
	ctx, cancel := context.WithTimeout(h.ctx, adviceTimeout)
	defer cancel()
	reply := order.AdviceReplyMsg{}.WithCall(m.Call())
	tickets, err := h.deps.adviser.Advise(ctx, m.Job(), m.Occurrence(), m.Step(), m.Workers())
	if err != nil {
		h.registry.Count("pier.advice_failed")
		reply = reply.WithText(err.Error())
	} else {
		reply = reply.WithOk(true).WithTickets(tickets)
	}
	if err := h.node.Send(from, reply); err != nil {
		h.log.Warn().Err(err).Msg("pier: advice not sent")
	}
}
