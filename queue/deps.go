package queue

import (
	"github.com/rs/zerolog"

	"chervilhollow/gauge"
	"chervilhollow/logbook"
	"chervilhollow/order"
	"chervilhollow/sheet"
	"chervilhollow/timers"
)

type (
	// Journal writes records to the store. AppendAsync calls done once the
	// record is written or never will be. Cancel returns false if the record
	// may be in the store. *logbook.Journal implements it.
	Journal interface {
		AppendAsync(r logbook.Record, done func(error)) (logbook.Token, error)
		Cancel(logbook.Token) bool
	}

	// Deps holds what a Queue needs from its process.
	Deps struct {
		clock    timers.Clock
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

// NewDeps returns dependencies with a log that discards its lines. All others
// have to be set.
func NewDeps() Deps { return Deps{log: zerolog.Nop()} }

// WithClock returns a copy with the clock that times and tickers are taken
// from.
func (d Deps) WithClock(clock timers.Clock) Deps {
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

// WithGuard returns a copy with the ownership guard of the partition.
func (d Deps) WithGuard(guard order.Guard) Deps {
	d.guard = guard
	return d
}

// WithPoster returns a copy with the poster, which sends messages to the owners
// of groups.
func (d Deps) WithPoster(poster order.Poster) Deps {
	d.poster = poster
	return d
}

// WithSender returns a copy with the sender, which sends messages to gates and
// placers.
func (d Deps) WithSender(sender order.Sender) Deps {
	d.sender = sender
	return d
}

// WithJournal returns a copy with the journal and the records read when it was
// opened.
func (d Deps) WithJournal(journal Journal, records []logbook.Record) Deps {
	d.journal = journal
	d.records = records
	return d
}

// WithConfig returns a copy with a function that returns the current
// configuration, or nil before one has arrived.
func (d Deps) WithConfig(config func() *sheet.Config) Deps {
	d.config = config
	return d
}

// WithDigests returns a copy with a function that returns the latest digests of
// the groups.
func (d Deps) WithDigests(digests func() []order.GroupDigest) Deps {
	d.digests = digests
	return d
}

// WithGroups returns a copy with a function that returns the groups on the host
// list.
func (d Deps) WithGroups(groups func() []order.GroupID) Deps {
	d.groups = groups
	return d
}

// WithPlacers returns a copy with a function that returns the placers that are
// running.
func (d Deps) WithPlacers(placers func() []order.MemberID) Deps {
	d.placers = placers
	return d
}

// WithOwned returns a copy with a function that reports whether the group has a
// known owner.
func (d Deps) WithOwned(owned func(order.GroupID) bool) Deps {
	d.owned = owned
	return d
}
