package placer

import (
	"context"
	"sync"
	"time"

	"chervilhollow/order"
	"chervilhollow/timers"
)

type (
	// PartitionServer serves one owned partition.
	PartitionServer interface {
		// Run serves the partition until the context ends or Close is called.
		Run(ctx context.Context) error

		// Drain stops accepting new work and returns the state that the next
		// owner needs after a planned handover.
		Drain() []byte

		// Close stops the server and waits until it has ended.
		Close()
	}

	// Opener creates the server of a partition and registers it for inbound
	// messages.
	Opener interface {
		// Open may block on the store; it returns an error when the context
		// ends. The state is that of the former owner, or nil if there was no
		// planned handover.
		Open(ctx context.Context, partition order.PartitionID, epoch order.Epoch, state []byte) (PartitionServer, error)

		// RemoveRoutes stops the delivery of messages to the partition's
		// server. Senders get a NotOwnerMsg from then on.
		RemoveRoutes(partition order.PartitionID)
	}

	// Supervisor runs a PartitionServer for each partition that the process
	// owns. It opens the server again, with backoff, if opening fails or Run
	// returns early. It is safe for concurrent use.
	Supervisor struct {
		opener  Opener
		clock   timers.Clock
		backoff func(attempt int) time.Duration

		mu      sync.Mutex
		current map[order.PartitionID]*instance
	}

	// instance is the server of one partition at one epoch. The next instance
	// of the same partition starts after this one has ended.
	instance struct {
		partition     order.PartitionID
		epoch         order.Epoch
		handoverState []byte
		cancel        context.CancelFunc
		done          chan struct{}

		mu     sync.Mutex
		server PartitionServer
	}
)

const (
	minOpenBackoff = 100 * time.Millisecond
	maxOpenBackoff = 2 * time.Second
)

// NewSupervisor returns a supervisor that runs no servers yet.
func NewSupervisor(opener Opener, clock timers.Clock) *Supervisor {
	return &Supervisor{
		opener:  opener,
		clock:   clock,
		backoff: openBackoff,
		current: make(map[order.PartitionID]*instance),
	}
}

// Start runs the server of a partition at an epoch. It returns at once; a
// previous instance is cancelled and awaited in the background. The state is
// that of the former owner, or nil.
func (s *Supervisor) Start(partition order.PartitionID, epoch order.Epoch, state []byte) {
	ctx, cancel := context.WithCancel(context.Background())
	inst := &instance{partition: partition, epoch: epoch, handoverState: state, cancel: cancel, done: make(chan struct{})}
	s.mu.Lock()
	previous := s.current[partition]
	s.current[partition] = inst
	s.mu.Unlock()
	go func() {
		defer close(inst.done)
		defer cancel()
		if previous != nil {
			previous.cancel()
			<-previous.done
		}
		s.serve(ctx, inst)
	}()
}

// Drain stops the server of a partition for a planned handover and returns the
// state that the next owner needs, or nil if no server runs.
func (s *Supervisor) Drain(partition order.PartitionID) []byte {
	s.mu.Lock()
	inst := s.current[partition]
	s.mu.Unlock()
	if inst == nil {
		return nil
	}
	// The routes are removed first, so that senders get a NotOwnerMsg at once
	// instead of waiting for a server that no longer replies.
	s.opener.RemoveRoutes(partition)
	state := inst.drain()
	s.StopAnyEpoch(partition)
	return state
}

// Stop ends the server of a partition if it runs at the given epoch or an
// earlier one, and waits until it has ended.
func (s *Supervisor) Stop(partition order.PartitionID, epoch order.Epoch) {
	s.mu.Lock()
	inst, ok := s.current[partition]
	if !ok || inst.epoch > epoch {
		s.mu.Unlock()
		return
	}
	delete(s.current, partition)
	s.mu.Unlock()
	inst.cancel()
	<-inst.done
}

// StopAnyEpoch ends the server of a partition regardless of its epoch, and
// waits until it has ended.
func (s *Supervisor) StopAnyEpoch(partition order.PartitionID) {
	s.Stop(partition, ^order.Epoch(0))
}

// Close ends all servers and waits until they have ended.
func (s *Supervisor) Close() {
	s.mu.Lock()
	var partitions []order.PartitionID
	for partition := range s.current {
		partitions = append(partitions, partition)
	}
	s.mu.Unlock()
	for _, partition := range partitions {
		s.StopAnyEpoch(partition)
	}
}

// serve opens and runs the server of an instance until the context ends.
func (s *Supervisor) serve(ctx context.Context, inst *instance) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		server, err := s.opener.Open(ctx, inst.partition, inst.epoch, inst.handoverState)
		if err != nil {
			s.sleep(ctx, s.backoff(attempt))
			continue
		}
		inst.setServer(server)
		_ = server.Run(ctx)
		inst.setServer(nil)
		s.opener.RemoveRoutes(inst.partition)
		server.Close()
		// The handover state is valid only for the first start; after that
		// the server's own changes are not in it.
		inst.handoverState = nil
		s.sleep(ctx, s.backoff(attempt))
	}
}

func (i *instance) setServer(server PartitionServer) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.server = server
}

func (i *instance) drain() []byte {
	i.mu.Lock()
	server := i.server
	i.mu.Unlock()
	if server == nil {
		return nil
	}
	return server.Drain()
}

func openBackoff(attempt int) time.Duration {
	return min(maxOpenBackoff, minOpenBackoff<<min(attempt, 10))
}

func (s *Supervisor) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-s.clock.After(d):
	}
}
