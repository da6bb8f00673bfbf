package logbook

import (
	"bytes"
	"errors"
	"fmt"
	"sort"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chervilhollow/depot"
	"chervilhollow/order"
)

type (
	// Token identifies a record that was added, for its completion.
	Token uint64

	// OpKind is a kind of call to the store.
	OpKind uint8

	// Op is one call to the store that the log wants to be made.
	Op struct {
		kind    OpKind
		key     string
		value   []byte
		version depot.Version
	}

	// Result is the answer of the store to an Op.
	Result struct {
		entry   depot.Entry
		version depot.Version
		err     error
	}

	// Completion tells that a record is in the store, or why it never will be.
	Completion struct {
		token Token
		err   error
	}

	// Log is the state machine of a journal: it decides which calls to the
	// store follow each other. Time and answers are passed in.
	Log struct {
		prefix    string
		epoch     order.Epoch
		writer    string
		interval  time.Duration
		retention time.Duration

		next      uint64
		base      uint64
		lastToken Token
		pending   []pendingRecord
		flight    *flight
		busy      bool
		lastWrite time.Time
		retryAt   time.Time
		failures  int
		err       error
		fenced    bool

		live      map[Key]liveRecord
		liveBytes int
		segments  []segment
		bytes     int
		snapshot  *snapshot
		obsolete  []segment
		deleteAt  time.Time
	}

	pendingRecord struct {
		token  Token
		record Record
		data   []byte
	}

	liveRecord struct {
		record Record
		data   []byte
	}

	segment struct {
		sequence uint64
		key      string
		version  depot.Version
		bytes    int
	}

	// flight is the segment that is being written.
	flight struct {
		sequence  uint64
		key       string
		value     []byte
		records   []pendingRecord
		copied    int
		uncertain bool
		base      uint64
	}

	// snapshot is a compaction under way: the live records that are still to
	// be copied, and the sequence of its first segment.
	snapshot struct {
		first uint64
		left  []Key
	}
)

// Kinds of calls.
const (
	OpCreate OpKind = iota + 1
	OpRead
	OpDelete
)

const (
	// Interval is the least time between the starts of two writes of segments.
	Interval = 90 * time.Millisecond

	// Retention is how long outcomes stay in the journal.
	Retention = 24 * time.Hour

	// MaxOutcomeBody is the largest result that the journal keeps.
	MaxOutcomeBody = 64 << 10

	// maxSegment leaves room below the store's limit of 1 MB a value.
	maxSegment = 900 << 10

	// compactSegments and compactBytes start a compaction, so that a
	// successor reads a bounded number of segments.
	compactSegments = 1024
	compactBytes    = 4 << 20

	firstRetry = 50 * time.Millisecond
	lastRetry  = 2 * time.Second
)

var (
	// ErrFenced reports that another owner writes this journal.
	ErrFenced = errors.New("another owner writes the journal")

	// ErrRecordTooLarge reports a record that fits into no segment.
	ErrRecordTooLarge = errors.New("record exceeds the size of a segment")
)

// Kind returns the kind of call.
func (o Op) Kind() OpKind { return o.kind }

// Key returns the key in the store.
func (o Op) Key() string { return o.key }

// Value returns the value to write.
func (o Op) Value() []byte { return o.value }

// Version returns the version that a deletion expects.
func (o Op) Version() depot.Version { return o.version }

// NewResult returns the answer to a call: the entry that was read, or the
// version that was written, or the error.
func NewResult(entry depot.Entry, version depot.Version, err error) Result {
	return Result{entry: entry, version: version, err: err}
}

// Token returns the token of the record.
func (c Completion) Token() Token { return c.token }

// Err returns nil if the record is in the store.
func (c Completion) Err() error { return c.err }

// NewLog returns the log of a partition at an epoch, over the segments that
// the store holds. The writer is a name that no other owner uses.
func NewLog(partition order.PartitionID, epoch order.Epoch, writer string, entries []depot.Entry) (*Log, error) {
	l := &Log{
		prefix:    Prefix(partition),
		epoch:     epoch,
		writer:    writer,
		interval:  Interval,
		retention: Retention,
		next:      1,
		live:      make(map[Key]liveRecord),
	}
	return l, l.replay(entries)
}

// Prefix returns the prefix of the keys of a partition's segments.
func Prefix(partition order.PartitionID) string {
	return "journal/" + string(partition) + "/"
}

// Records returns the newest record of each request, in order of time.
func (l *Log) Records() []Record {
	records := make([]Record, 0, len(l.live))
	for _, r := range l.live {
		records = append(records, r.record)
	}
	sort.Slice(records, func(i, j int) bool {
		a, b := records[i], records[j]
		if !a.At().Equal(b.At()) {
			return a.At().Before(b.At())
		}
		return a.Key().less(b.Key())
	})
	return records
}

// Err returns why the log accepts no more records, or nil.
func (l *Log) Err() error { return l.err }

// Add queues a record for the next write.
func (l *Log) Add(r Record) (Token, error) {
	if l.err != nil {
		return 0, l.err
	}
	data, err := r.encode()
	if err != nil {
		return 0, err
	}
	if len(data) > maxSegment {
		return 0, ErrRecordTooLarge
	}
	l.lastToken++
	l.pending = append(l.pending, pendingRecord{token: l.lastToken, record: r, data: data})
	return l.lastToken, nil
}

// Cancel takes a record back. It reports false if the record may be in the
// store.
func (l *Log) Cancel(token Token) bool {
	for i, p := range l.pending {
		if p.token == token {
			l.pending = append(l.pending[:i:i], l.pending[i+1:]...)
			return true
		}
	}
	return false
}

// Fence returns the call that writes the first segment of this owner, after
// which a late write of an earlier owner meets a conflict. No record may be
// acted on before Fenced reports true.
func (l *Log) Fence(now time.Time) Op {
	l.lastWrite = now
	l.flight = l.newFlight()
	l.busy = true
	return Op{kind: OpCreate, key: l.flight.key, value: l.flight.value}
}

// Fenced reports whether the first segment of this owner is in the store.
func (l *Log) Fenced() bool { return l.fenced }

// Next returns the call to make now, if any. Its answer goes to Done before
// the next call.
func (l *Log) Next(now time.Time) (Op, bool) {
	if l.err != nil || l.busy || now.Before(l.retryAt) {
		return Op{}, false
	}
	op, ok := l.nextOp(now)
	l.busy = ok
	return op, ok
}

// Due returns when Next may return a call, the zero time if not before a
// record is added or an answer arrives.
func (l *Log) Due() time.Time {
	if l.err != nil || l.busy {
		return time.Time{}
	}
	due := time.Time{}
	switch {
	case l.flight != nil:
		due = l.lastWrite
	case len(l.pending) > 0 || l.snapshot != nil:
		due = l.lastWrite.Add(l.interval)
	case len(l.obsolete) > 0:
		due = l.deleteAt
	default:
		return time.Time{}
	}
	if due.Before(l.retryAt) {
		return l.retryAt
	}
	return due
}

// Done takes the answer to a call.
func (l *Log) Done(now time.Time, op Op, result Result) []Completion {
	l.busy = false
	switch op.kind {
	case OpCreate:
		return l.created(now, result)
	case OpRead:
		return l.readBack(now, result)
	}
	l.deleted(now, result)
	return nil
}

func (l *Log) nextOp(now time.Time) (Op, bool) {
	if l.flight != nil {
		kind := OpCreate
		if l.flight.uncertain {
			kind = OpRead
		}
		return Op{kind: kind, key: l.flight.key, value: l.flight.value}, true
	}
	l.startCompaction(now)
	waiting := len(l.pending) > 0 || l.snapshot != nil
	if waiting && now.Sub(l.lastWrite) >= l.interval {
		l.lastWrite = now
		l.flight = l.newFlight()
		return Op{kind: OpCreate, key: l.flight.key, value: l.flight.value}, true
	}
	if len(l.obsolete) > 0 && !now.Before(l.deleteAt) {
		old := l.obsolete[0]
		return Op{kind: OpDelete, key: old.key, version: old.version}, true
	}
	return Op{}, false
}

// newFlight fills a segment with pending records first, and then with records
// that a compaction copies.
func (l *Log) newFlight() *flight {
	f := &flight{sequence: l.next, key: l.key(l.next), base: l.base}
	wire := segmentWire{Epoch: l.epoch, Sequence: l.next, Writer: l.writer}
	size := 0
	for len(l.pending) > 0 && size+len(l.pending[0].data) <= maxSegment {
		p := l.pending[0]
		l.pending = l.pending[1:]
		f.records = append(f.records, p)
		wire.Records = append(wire.Records, p.data)
		size += len(p.data)
	}
	if l.snapshot != nil {
		f.copied = l.copyLive(&wire, size)
		if f.copied == len(l.snapshot.left) {
			f.base = l.snapshot.first
		}
	}
	wire.Base = f.base
	value, err := encMode.Marshal(wire)
	if err != nil {
		panic(fmt.Sprintf("encode journal segment: %v", err))
	}
	f.value = value
	return f
}

func (l *Log) copyLive(wire *segmentWire, size int) int {
	copied := 0
	for _, key := range l.snapshot.left {
		r, ok := l.live[key]
		if ok && size+len(r.data) > maxSegment {
			break
		}
		copied++
		if ok {
			wire.Records = append(wire.Records, r.data)
			size += len(r.data)
		}
	}
	return copied
}

func (l *Log) created(now time.Time, result Result) []Completion {
	switch {
	case result.err == nil:
		return l.commit(result.version)
	case errors.Is(result.err, depot.ErrConflict), errors.Is(result.err, depot.ErrUncertain):
		l.flight.uncertain = true
		return nil
	case errors.Is(result.err, depot.ErrUnavailable):
		l.unwritten(now)
		return nil
	}
	l.flight.uncertain = true
	l.backOff(now)
	return nil
}

// unwritten takes the records of a segment back that certainly was not
// written, so that they may still be cancelled.
func (l *Log) unwritten(now time.Time) {
	l.pending = append(l.flight.records[:len(l.flight.records):len(l.flight.records)], l.pending...)
	l.flight = nil
	l.backOff(now)
}

// readBack finds out whether a write whose answer was lost took effect.
func (l *Log) readBack(now time.Time, result Result) []Completion {
	switch {
	case result.err != nil:
		l.backOff(now)
		return nil
	case !result.entry.Exists():
		// The write may still be on its way, so the same bytes are sent again.
		l.flight.uncertain = false
		l.backOff(now)
		return nil
	case bytes.Equal(result.entry.Value(), l.flight.value):
		return l.commit(result.entry.Version())
	}
	return l.fail(ErrFenced)
}

func (l *Log) commit(version depot.Version) []Completion {
	f := l.flight
	l.flight = nil
	l.fenced = true
	l.failures = 0
	l.retryAt = time.Time{}
	l.next = f.sequence + 1
	l.segments = append(l.segments, segment{sequence: f.sequence, key: f.key, version: version, bytes: len(f.value)})
	l.bytes += len(f.value)
	completions := make([]Completion, 0, len(f.records))
	for _, p := range f.records {
		l.fold(p.record, p.data)
		completions = append(completions, Completion{token: p.token})
	}
	l.advanceSnapshot(f)
	return completions
}

func (l *Log) advanceSnapshot(f *flight) {
	if l.snapshot == nil || f.sequence < l.snapshot.first {
		return
	}
	l.snapshot.left = l.snapshot.left[f.copied:]
	if f.base > l.base {
		l.base = f.base
		l.snapshot = nil
		l.dropBelowBase()
	}
}

func (l *Log) dropBelowBase() {
	kept := l.segments[:0:0]
	for _, s := range l.segments {
		if s.sequence < l.base {
			l.obsolete = append(l.obsolete, s)
			l.bytes -= s.bytes
			continue
		}
		kept = append(kept, s)
	}
	l.segments = kept
}

func (l *Log) startCompaction(now time.Time) {
	if l.snapshot != nil || len(l.obsolete) > 0 {
		return
	}
	if len(l.segments) < compactSegments && l.bytes < 2*l.liveBytes+compactBytes {
		return
	}
	l.expire(now)
	keys := make([]Key, 0, len(l.live))
	for key := range l.live {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].less(keys[j]) })
	l.snapshot = &snapshot{first: l.next, left: keys}
}

// expire forgets outcomes that are older than the retention period.
func (l *Log) expire(now time.Time) {
	for key, r := range l.live {
		if r.record.Kind() == Ended && now.Sub(r.record.At()) > l.retention {
			l.liveBytes -= len(r.data)
			delete(l.live, key)
		}
	}
}

func (l *Log) deleted(now time.Time, result Result) {
	if result.err != nil && !errors.Is(result.err, depot.ErrConflict) {
		// The segment may be gone; the next deletion then gets a conflict.
		l.backOff(now)
		return
	}
	l.failures = 0
	l.obsolete = l.obsolete[1:]
	l.deleteAt = now.Add(l.interval)
}

func (l *Log) fail(err error) []Completion {
	l.err = err
	var failed []Completion
	if l.flight != nil {
		l.pending = append(l.flight.records, l.pending...)
		l.flight = nil
	}
	for _, p := range l.pending {
		failed = append(failed, Completion{token: p.token, err: err})
	}
	l.pending = nil
	return failed
}

func (l *Log) backOff(now time.Time) {
	wait := firstRetry << min(l.failures, 6)
	l.failures++
	l.retryAt = now.Add(min(wait, lastRetry))
}

func (l *Log) fold(r Record, data []byte) {
	key := r.Key()
	known, ok := l.live[key]
	if ok && !r.follows(known.record) {
		return
	}
	l.liveBytes += len(data) - len(known.data)
	l.live[key] = liveRecord{record: r, data: data}
}

func (l *Log) key(sequence uint64) string {
	return fmt.Sprintf("%s%016d", l.prefix, sequence)
}

func (k Key) less(other Key) bool {
	if k.Team != other.Team {
		return k.Team < other.Team
	}
	return k.Request < other.Request
}

// replay reads the segments in the store. Segments below the newest base were
// replaced by a snapshot, or were written late by an owner that was fenced.
func (l *Log) replay(entries []depot.Entry) error {
	type read struct {
		wire    segmentWire
		records []Record
		entry   depot.Entry
	}
	segments := make([]read, 0, len(entries))
	for _, entry := range entries {
		wire, records, err := decodeSegment(entry.Value())
		if err != nil {
			return fmt.Errorf("%s: %w", entry.Key(), err)
		}
		l.base = max(l.base, wire.Base)
		segments = append(segments, read{wire: wire, records: records, entry: entry})
	}
	sort.Slice(segments, func(i, j int) bool { return segments[i].wire.Sequence < segments[j].wire.Sequence })
	for _, s := range segments {
		if s.wire.Epoch > l.epoch {
			return fmt.Errorf("%s: %w: epoch %d", s.entry.Key(), ErrFenced, s.wire.Epoch)
		}
		l.next = max(l.next, s.wire.Sequence+1)
		l.segments = append(l.segments, segment{sequence: s.wire.Sequence, key: s.entry.Key(), version: s.entry.Version(), bytes: len(s.entry.Value())})
		l.bytes += len(s.entry.Value())
		if s.wire.Sequence < l.base {
			continue
		}
		l.foldAll(s.records, s.wire.Records)
	}
	l.dropBelowBase()
	return nil
}

func (l *Log) foldAll(records []Record, raw []cbor.RawMessage) {
	for i, r := range records {
		l.fold(r, raw[i])
	}
}
