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

		// Close stops the part and waits.
		Close()
	}

	// Opener makes the part of a partition and routes messages to it. It may
	// block on the store, and gives up when the context ends.
	Opener interface {
		Open(ctx context.Context, partition order.PartitionID, epoch order.Epoch) (Part, error)

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
		epoch  order.Epoch
		cancel context.CancelFunc
		done   chan struct{}
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
func (p *Parts) Start(partition order.PartitionID, epoch order.Epoch) {
	ctx, cancel := context.WithCancel(context.Background())
	part := &running{epoch: epoch, cancel: cancel, done: make(chan struct{})}
	p.mu.Lock()
	earlier := p.parts[partition]
	p.parts[partition] = part
	p.mu.Unlock()
	go func() {
		defer close(part.done)
		defer cancel()
		if earlier != nil {
			earlier.cancel()
			<-earlier.done
		}
		p.run(ctx, partition, epoch)
	}()
}

// Stop ends the part of a partition if it runs at the epoch or an earlier one,
// and waits.
func (p *Parts) Stop(partition order.PartitionID, epoch order.Epoch) {
	p.mu.Lock()
	part, ok := p.parts[partition]
	if !ok || part.epoch > epoch {
		p.mu.Unlock()
		return
	}
	delete(p.parts, partition)
	p.mu.Unlock()
	part.cancel()
	<-part.done
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

func (p *Parts) run(ctx context.Context, partition order.PartitionID, epoch order.Epoch) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		part, err := p.opener.Open(ctx, partition, epoch)
		if err != nil {
			p.sleep(ctx, p.retry(attempt))
			continue
		}
		_ = part.Run(ctx)
		p.opener.Remove(partition)
		part.Close()
		p.sleep(ctx, p.retry(attempt))
	}
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
