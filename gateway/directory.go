package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/storage"
	"chervilhollow/timers"
)

type (
	// Directory looks up the owners of request partitions. It follows the
	// partition records in the store and never writes them. While the store is
	// not reachable it keeps the last known owners. It is safe for concurrent
	// use.
	Directory struct {
		store    storage.Store
		clock    timers.Clock
		registry *gauge.Registry
		log      zerolog.Logger

		mu     sync.RWMutex
		owners map[order.PartitionID]partitionRecord
	}

	partitionRecord struct {
		Owner order.MemberID `json:"owner"`
		Epoch order.Epoch    `json:"epoch"`
	}
)

const (
	recordPrefix = "partition/"

	// requestRecordPrefix excludes the records of worker groups, which a gate
	// does not need.
	requestRecordPrefix = recordPrefix + "r/"

	watchWait  = 20 * time.Second
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// NewDirectory returns a directory without owners; Run reads them.
func NewDirectory(store storage.Store, clock timers.Clock, registry *gauge.Registry, log zerolog.Logger) *Directory {
	return &Directory{
		store: store, clock: clock, registry: registry, log: log,
		owners: make(map[order.PartitionID]partitionRecord),
	}
}

// Owner returns the owner of a partition and its epoch from the last known
// record, and false if no owner is known.
func (d *Directory) Owner(partition order.PartitionID) (order.MemberID, order.Epoch, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	r, ok := d.owners[partition]
	return r.Owner, r.Epoch, ok && r.Owner != ""
}

// Run follows the records until the context ends. After a failed call it lists
// them again, with backoff unless the store has compacted the watched version.
func (d *Directory) Run(ctx context.Context) error {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval, retryBackoff.MaxInterval = minBackoff, maxBackoff
	for ctx.Err() == nil {
		err := d.listAndWatch(ctx, retryBackoff)
		if ctx.Err() != nil {
			break
		}
		d.registry.Count("window.directory_failed")
		d.log.Debug().Err(err).Msg("window: partition records not read")
		if errors.Is(err, storage.ErrCompacted) {
			continue
		}
		select {
		case <-d.clock.After(retryBackoff.NextBackOff()):
		case <-ctx.Done():
		}
	}
	return nil
}

// listAndWatch lists the records and watches them until a call fails.
func (d *Directory) listAndWatch(ctx context.Context, retryBackoff *backoff.ExponentialBackOff) error {
	entries, version, err := d.store.List(ctx, requestRecordPrefix)
	if err != nil {
		return err
	}
	d.replaceAll(entries)
	for {
		events, reached, err := d.store.Watch(ctx, requestRecordPrefix, version, watchWait)
		if err != nil {
			return err
		}
		retryBackoff.Reset()
		for _, event := range events {
			d.applyRecord(event.Entry(), event.Deleted())
		}
		version = reached
	}
}

func (d *Directory) replaceAll(entries []storage.Entry) {
	d.mu.Lock()
	d.owners = make(map[order.PartitionID]partitionRecord, len(entries))
	d.mu.Unlock()
	for _, entry := range entries {
		d.applyRecord(entry, false)
	}
}

// applyRecord sets or deletes the owner of one partition. It skips records that
// cannot be decoded.
func (d *Directory) applyRecord(entry storage.Entry, deleted bool) {
	partition := order.PartitionID(strings.TrimPrefix(entry.Key(), recordPrefix))
	var r partitionRecord
	if !deleted {
		if err := json.Unmarshal(entry.Value(), &r); err != nil {
			d.registry.Count("window.record_damaged")
			d.log.Error().Err(err).Str("key", entry.Key()).Msg("window: partition record not decoded")
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if deleted {
		delete(d.owners, partition)
		return
	}
	d.owners[partition] = r
}
