// Package window assembles the gate process.
package window

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"

	"chervilhollow/depot"
	"chervilhollow/gauge"
	"chervilhollow/order"
	"chervilhollow/tide"
)

type (
	// Directory follows the partition records in the store, read only. While
	// the store is not reachable it keeps the last known owners.
	Directory struct {
		store    depot.Store
		clock    tide.Clock
		registry *gauge.Registry
		log      zerolog.Logger

		mu     sync.RWMutex
		owners map[order.PartitionID]ownerRecord
	}

	ownerRecord struct {
		Owner order.MemberID `json:"owner"`
		Epoch order.Epoch    `json:"epoch"`
	}
)

const (
	recordPrefix = "partition/"

	// requestRecords leaves out the records of worker groups, which a gate
	// does not need.
	requestRecords = recordPrefix + "r/"

	watchWait  = 20 * time.Second
	firstPause = 50 * time.Millisecond
	longPause  = 2 * time.Second
)

// NewDirectory returns a directory that knows no owners yet.
func NewDirectory(store depot.Store, clock tide.Clock, registry *gauge.Registry, log zerolog.Logger) *Directory {
	return &Directory{
		store: store, clock: clock, registry: registry, log: log,
		owners: make(map[order.PartitionID]ownerRecord),
	}
}

// Owner returns the owner of a partition by the last known record.
func (d *Directory) Owner(partition order.PartitionID) (order.MemberID, order.Epoch, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	r, ok := d.owners[partition]
	return r.Owner, r.Epoch, ok && r.Owner != ""
}

// Run follows the records until the context ends.
func (d *Directory) Run(ctx context.Context) error {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = firstPause, longPause
	for ctx.Err() == nil {
		err := d.follow(ctx, delays)
		if ctx.Err() != nil {
			break
		}
		d.registry.Count("window.directory_failed")
		d.log.Debug().Err(err).Msg("window: partition records not read")
		if errors.Is(err, depot.ErrCompacted) {
			continue
		}
		select {
		case <-d.clock.After(delays.NextBackOff()):
		case <-ctx.Done():
		}
	}
	return nil
}

// follow lists the records and watches them until a call fails.
func (d *Directory) follow(ctx context.Context, delays *backoff.ExponentialBackOff) error {
	entries, version, err := d.store.List(ctx, requestRecords)
	if err != nil {
		return err
	}
	d.replace(entries)
	for {
		events, reached, err := d.store.Watch(ctx, requestRecords, version, watchWait)
		if err != nil {
			return err
		}
		delays.Reset()
		for _, event := range events {
			d.apply(event.Entry(), event.Deleted())
		}
		version = reached
	}
}

func (d *Directory) replace(entries []depot.Entry) {
	d.mu.Lock()
	d.owners = make(map[order.PartitionID]ownerRecord, len(entries))
	d.mu.Unlock()
	for _, entry := range entries {
		d.apply(entry, false)
	}
}

func (d *Directory) apply(entry depot.Entry, deleted bool) {
	partition := order.PartitionID(strings.TrimPrefix(entry.Key(), recordPrefix))
	var r ownerRecord
	if !deleted {
		if err := json.Unmarshal(entry.Value(), &r); err != nil {
			d.registry.Count("window.record_damaged")
			d.log.Error().Err(err).Str("key", entry.Key()).Msg("window: partition record cannot be read")
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
