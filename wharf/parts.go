package wharf

import (
	"context"
	"sync"
	"time"

	"chervilhollow/order"
	"chervilhollow/tide"
)

type (
	// Part serves one owned partition.
	Part interface {
		// Run works until the context ends or Close is called.
		Run(ctx context.Context) error

		// Drain stops new work and returns the state for the next owner at a
		// planned move.
		Drain() []byte

		// Close stops the part and waits.
		Close()
	}

	// Opener makes the part of a partition and routes messages to it. It may
	// block on the store, and gives up when the context ends.
	Opener interface {
		// The state is that of the earlier owner, if it handed the partition
		// over.
		Open(ctx context.Context, partition order.PartitionID, epoch order.Epoch, state []byte) (Part, error)

		// Remove stops the routing of messages to the partition.
		Remove(partition order.PartitionID)
	}

	// Parts runs a part for each partition that the process owns.
	Parts struct {
		opener Opener
		clock  tide.Clock
		retry  func(attempt int) time.Duration

		mu    sync.Mutex
		parts map[order.PartitionID]*running
	}

	// running is the part of one partition at one epoch. The next one of the
	// same partition starts after it has ended.
	running struct {
		partition order.PartitionID
		epoch     order.Epoch
		state     []byte
		cancel    context.CancelFunc
		done      chan struct{}

		mu   sync.Mutex
		part Part
	}
)

const (
	firstOpenRetry   = 100 * time.Millisecond
	longestOpenRetry = 2 * time.Second
)

// NewParts returns an empty set of parts.
func NewParts(opener Opener, clock tide.Clock) *Parts {
	return &Parts{
		opener: opener,
		clock:  clock,
		retry:  openRetry,
		parts:  make(map[order.PartitionID]*running),
	}
}

// Start runs the part of a partition at an epoch, after an earlier one has
// ended.
func (p *Parts) Start(partition order.PartitionID, epoch order.Epoch, state []byte) {
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{partition: partition, epoch: epoch, state: state, cancel: cancel, done: make(chan struct{})}
	p.mu.Lock()
	earlier := p.parts[partition]
	p.parts[partition] = r
	p.mu.Unlock()
	go func() {
		defer close(r.done)
		defer cancel()
		if earlier != nil {
			earlier.cancel()
			<-earlier.done
		}
		p.run(ctx, r)
	}()
}

// Drain stops the part of a partition for a planned move and returns its state
// for the next owner.
func (p *Parts) Drain(partition order.PartitionID) []byte {
	p.mu.Lock()
	r := p.parts[partition]
	p.mu.Unlock()
	if r == nil {
		return nil
	}
	// Senders learn at once that the partition moves, instead of waiting for
	// an answer of a part that works no more.
	p.opener.Remove(partition)
	state := r.drain()
	p.StopCurrent(partition)
	return state
}

// Stop ends the part of a partition if it runs at the epoch or an earlier one,
// and waits.
func (p *Parts) Stop(partition order.PartitionID, epoch order.Epoch) {
	p.mu.Lock()
	r, ok := p.parts[partition]
	if !ok || r.epoch > epoch {
		p.mu.Unlock()
		return
	}
	delete(p.parts, partition)
	p.mu.Unlock()
	r.cancel()
	<-r.done
}

// StopCurrent ends the part of a partition at whatever epoch it runs.
func (p *Parts) StopCurrent(partition order.PartitionID) {
	p.Stop(partition, ^order.Epoch(0))
}

// Close ends all parts and waits.
func (p *Parts) Close() {
	p.mu.Lock()
	var all []order.PartitionID
	for partition := range p.parts {
		all = append(all, partition)
	}
	p.mu.Unlock()
	for _, partition := range all {
		p.StopCurrent(partition)
	}
}

func (p *Parts) run(ctx context.Context, r *running) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		part, err := p.opener.Open(ctx, r.partition, r.epoch, r.state)
		if err != nil {
			p.sleep(ctx, p.retry(attempt))
			continue
		}
		r.set(part)
		_ = part.Run(ctx)
		r.set(nil)
		p.opener.Remove(r.partition)
		part.Close()
		// The state describes the moment of the move only.
		r.state = nil
		p.sleep(ctx, p.retry(attempt))
	}
}

func (r *running) set(part Part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.part = part
}

func (r *running) drain() []byte {
	r.mu.Lock()
	part := r.part
	r.mu.Unlock()
	if part == nil {
		return nil
	}
	return part.Drain()
}

func openRetry(attempt int) time.Duration {
	return min(longestOpenRetry, firstOpenRetry<<min(attempt, 10))
}

func (p *Parts) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-p.clock.After(d):
	}
}
