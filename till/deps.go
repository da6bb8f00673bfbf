package till

import (
	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/logbook"
	"chervilhollow/order"
	"chervilhollow/sheet"
	"chervilhollow/tide"
)

type (
	// Journal keeps records. *logbook.Journal implements it.
	Journal interface {
		Start(r logbook.Record, done func(error)) (logbook.Token, error)
		Cancel(logbook.Token) bool
	}

	// Deps is what a queue needs from its process.
	Deps struct {
		clock    tide.Clock
		registry *gauge.Registry
		log      zerolog.Logger
		guard    order.Guard
		poster   order.Poster
		sender   order.Sender
		journal  Journal
		records  []logbook.Record
		config   func() *sheet.Config
		digests  func() []order.GroupDigest
		groups   func() []order.GroupID
		placers  func() []order.MemberID
		owned    func(order.GroupID) bool
	}
)

// NewDeps returns dependencies without any; all but the log must be set.
func NewDeps() Deps { return Deps{log: zerolog.Nop()} }

// WithClock returns a copy with the clock.
func (d Deps) WithClock(clock tide.Clock) Deps {
	d.clock = clock
	return d
}

// WithRegistry returns a copy with the registry of counters and invariants.
func (d Deps) WithRegistry(registry *gauge.Registry) Deps {
	d.registry = registry
	return d
}

// WithLog returns a copy with the log.
func (d Deps) WithLog(log zerolog.Logger) Deps {
	d.log = log
	return d
}

// WithGuard returns a copy with the guard of the partition.
func (d Deps) WithGuard(guard order.Guard) Deps {
	d.guard = guard
	return d
}

// WithPoster returns a copy with the poster to the groups.
func (d Deps) WithPoster(poster order.Poster) Deps {
	d.poster = poster
	return d
}

// WithSender returns a copy with the sender to gates and placers.
func (d Deps) WithSender(sender order.Sender) Deps {
	d.sender = sender
	return d
}

// WithJournal returns a copy with the journal and the records it was opened
// with.
func (d Deps) WithJournal(journal Journal, records []logbook.Record) Deps {
	d.journal = journal
	d.records = records
	return d
}

// WithConfig returns a copy with the function that returns the configuration.
func (d Deps) WithConfig(config func() *sheet.Config) Deps {
	d.config = config
	return d
}

// WithDigests returns a copy with the function that returns the current
// digests of the groups.
func (d Deps) WithDigests(digests func() []order.GroupDigest) Deps {
	d.digests = digests
	return d
}

// WithGroups returns a copy with the function that returns the groups that the
// host list shows.
func (d Deps) WithGroups(groups func() []order.GroupID) Deps {
	d.groups = groups
	return d
}

// WithPlacers returns a copy with the function that returns the live placers.
func (d Deps) WithPlacers(placers func() []order.MemberID) Deps {
	d.placers = placers
	return d
}

// WithOwned returns a copy with the function that tells whether a group has a
// known owner.
func (d Deps) WithOwned(owned func(order.GroupID) bool) Deps {
	d.owned = owned
	return d
}
