// Package tonnage divides the limits of teams into allotments of worker
// groups.
package tonnage

import (
	"context"
	"encoding/json"
	"time"

	"chervilhollow/depot"
	"chervilhollow/order"
	"chervilhollow/sheet"
	"chervilhollow/tide"
)

type (
	// Divider writes the first division of each team whose quota partition it
	// serves.
	Divider struct {
		partition order.PartitionID
		store     depot.Store
		clock     tide.Clock
		config    func() *sheet.Config
		groups    func() []order.GroupID
	}

	record struct {
		Limit   int                   `json:"limit"`
		Version uint64                `json:"version"`
		Groups  map[order.GroupID]int `json:"groups"`
	}
)

const dividePeriod = time.Second

// New returns the divider of a quota partition.
func New(partition order.PartitionID, store depot.Store, clock tide.Clock, config func() *sheet.Config, groups func() []order.GroupID) *Divider {
	return &Divider{partition: partition, store: store, clock: clock, config: config, groups: groups}
}

// Run divides until the context ends.
func (d *Divider) Run(ctx context.Context) error {
	ticks := d.clock.Subscribe(dividePeriod)
	defer ticks.Close()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C():
			d.divideNew(ctx)
		}
	}
}

// Handle takes no messages yet.
func (*Divider) Handle(order.MemberID, order.Msg) {}

// Close has nothing to wait for: Run ends with its context.
func (*Divider) Close() {}

func (d *Divider) divideNew(ctx context.Context) {
	groups := d.groups()
	if len(groups) == 0 {
		return
	}
	for _, team := range d.config().Teams() {
		if order.QuotaPartition(team.Name()) == d.partition {
			d.writeFirst(ctx, team, groups)
		}
	}
}

// writeFirst creates the record of a team that has none; a conflict means that
// the team has one.
func (d *Divider) writeFirst(ctx context.Context, team sheet.Team, groups []order.GroupID) {
	r := record{Limit: team.Limit(), Version: 1, Groups: make(map[order.GroupID]int)}
	for i, group := range groups {
		r.Groups[group] = (team.Limit() + i) / len(groups)
	}
	value, err := json.Marshal(r)
	if err != nil {
		return
	}
	_, _ = d.store.Swap(ctx, "allotment/"+string(team.Name()), 0, value, 0)
}
