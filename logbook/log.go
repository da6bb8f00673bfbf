package logbook

import (
	"bytes"
	"errors"
	"fmt"
	"sort"
	"time"

	"github.com/fxamacker/cbor/v2"

	"chervilhollow/order"
	"chervilhollow/storage"
)

type (
	// Token identifies an added record in Cancel and in its Completion. Zero is
	// not a valid token.
	Token uint64

	// OpKind is the kind of a store call.
	OpKind uint8

	// Op is a store call that the Log requests.
	Op struct {
		kind    OpKind
		key     string
		value   []byte
		version storage.Version
	}

	// Result is the reply of the store to an Op.
	Result struct {
		entry   storage.Entry
		version storage.Version
		err     error
	}

	// Completion reports that a record is in the store, or why it never will
	// be.
	Completion struct {
		token Token
		err   error
	}

	// Log is the state machine of a journal: it decides which store calls to
	// make and in which order. Time and results are passed in. It is not safe
	// for concurrent use.
	Log struct {
		prefix    string
		epoch     order.Epoch
		writer    string
		interval  time.Duration
		retention time.Duration

		nextSequence   uint64
		base           uint64
		lastToken      Token
		pending        []pendingRecord
		writing        *pendingSegment
		callOpen       bool
		lastWriteStart time.Time
		retryAt        time.Time
		failures       int
		err            error
		fenced         bool

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

	// liveRecord is the newest record of a request.
	liveRecord struct {
		record Record
		data   []byte
	}

	segment struct {
		sequence uint64
		key      string
		version  storage.Version
		bytes    int
	}

	// pendingSegment is the segment that is being written. It is uncertain if a
	// failed write may have taken effect. copied is how many keys of the
	// compaction it covers.
	pendingSegment struct {
		sequence  uint64
		key       string
		value     []byte
		records   []pendingRecord
		copied    int
		uncertain bool
		base      uint64
	}

	// snapshot is a compaction in progress: the sequence of its first segment,
	// and the requests whose live records have not been copied yet.
	snapshot struct {
		first     uint64
		remaining []Key
	}
)

// Kinds of store calls: OpCreate writes a segment that must not exist yet,
// OpRead reads one, and OpDelete deletes an obsolete one.
const (
	OpCreate OpKind = iota + 1
	OpRead
	OpDelete
)

const (
	// WriteInterval is the minimum time between the starts of two segment
	// writes.
	WriteInterval = 90 * time.Millisecond

	// Retention is how long outcomes stay in the journal by default.
	Retention = 24 * time.Hour

	// MaxOutcomeBody is the size in bytes of the largest result that the
	// journal keeps.
	MaxOutcomeBody = 64 << 10

	// maxSegment is the size in bytes of the records in a segment. It leaves
	// space below the limit of 1 MB for a value in the store.
	maxSegment = 900 << 10

	// A compaction starts at compactSegments segments, or when the segments
	// exceed twice the live records by compactBytes. This bounds the number of
	// segments that the next owner reads.
	compactSegments = 1024
	compactBytes    = 4 << 20

	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

var (
	// ErrFenced reports that another owner writes this journal. It is
	// permanent.
	ErrFenced = errors.New("another owner writes the journal")

	// ErrRecordTooLarge reports a record that does not fit into a segment.
	ErrRecordTooLarge = errors.New("record exceeds the size of a segment")
)

// Kind returns which store call to make.
func (o Op) Kind() OpKind { return o.kind }

// Key returns the key of the segment in the store.
func (o Op) Key() string { return o.key }

// Value returns the value that OpCreate writes.
func (o Op) Value() []byte { return o.value }

// Version returns the version that OpDelete expects.
func (o Op) Version() storage.Version { return o.version }

// NewResult returns the result of a call: the entry that was read, the version
// that was written, or the error.
func NewResult(entry storage.Entry, version storage.Version, err error) Result {
	return Result{entry: entry, version: version, err: err}
}

// Token returns the token that Add returned for the record.
func (c Completion) Token() Token { return c.token }

// Err returns nil if the record is in the store.
func (c Completion) Err() error { return c.err }

// NewLog returns the log of a partition at an epoch and replays the segments
// that the store holds. The writer must be unique among all owners. It returns
// ErrFenced if a segment has a higher epoch.
func NewLog(partition order.PartitionID, epoch order.Epoch, writer string, entries []storage.Entry) (*Log, error) {
	l := &Log{
		prefix:       Prefix(partition),
		epoch:        epoch,
		writer:       writer,
		interval:     WriteInterval,
		retention:    Retention,
		nextSequence: 1,
		live:         make(map[Key]liveRecord),
	}
	return l, l.replay(entries)
}

// Prefix returns the prefix of the segment keys of a partition.
func Prefix(partition order.PartitionID) string {
	return "journal/" + string(partition) + "/"
}

// Records returns the newest record of each request, ordered by time.
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

// Err returns why the log accepts no more records, or nil if it does.
func (l *Log) Err() error { return l.err }

// Add queues a record for the next segment.
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

// Cancel removes a queued record. It returns false if the record may be in the
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

// Fence returns the call that writes the first segment of this owner, so that a
// late write of an earlier owner fails with a conflict. No record may be acted
// on before Fenced returns true.
func (l *Log) Fence(now time.Time) Op {
	l.lastWriteStart = now
	l.writing = l.buildSegment()
	l.callOpen = true
	return Op{kind: OpCreate, key: l.writing.key, value: l.writing.value}
}

// Fenced reports whether the first segment of this owner is in the store.
func (l *Log) Fenced() bool { return l.fenced }

// Next returns the call to make now, if any. Its result has to be passed to
// HandleResult before the next call.
func (l *Log) Next(now time.Time) (Op, bool) {
	if l.err != nil || l.callOpen || now.Before(l.retryAt) {
		return Op{}, false
	}
	op, ok := l.nextOp(now)
	l.callOpen = ok
	return op, ok
}

// NextDue returns when Next may return a call. The zero time means not before a
// record is added or a result arrives.
func (l *Log) NextDue() time.Time {
	if l.err != nil || l.callOpen {
		return time.Time{}
	}
	due := time.Time{}
	switch {
	case l.writing != nil:
		due = l.lastWriteStart
	case len(l.pending) > 0 || l.snapshot != nil:
		due = l.lastWriteStart.Add(l.interval)
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

// HandleResult handles the result of a call and returns the records that it
// completed.
func (l *Log) HandleResult(now time.Time, op Op, result Result) []Completion {
	l.callOpen = false
	switch op.kind {
	case OpCreate:
		return l.handleCreated(now, result)
	case OpRead:
		return l.handleRead(now, result)
	}
	l.handleDeleted(now, result)
	return nil
}

func (l *Log) nextOp(now time.Time) (Op, bool) {
	if l.writing != nil {
		kind := OpCreate
		if l.writing.uncertain {
			kind = OpRead
		}
		return Op{kind: kind, key: l.writing.key, value: l.writing.value}, true
	}
	l.startCompaction(now)
	waiting := len(l.pending) > 0 || l.snapshot != nil
	if waiting && now.Sub(l.lastWriteStart) >= l.interval {
		l.lastWriteStart = now
		l.writing = l.buildSegment()
		return Op{kind: OpCreate, key: l.writing.key, value: l.writing.value}, true
	}
	if len(l.obsolete) > 0 && !now.Before(l.deleteAt) {
		old := l.obsolete[0]
		return Op{kind: OpDelete, key: old.key, version: old.version}, true
	}
	return Op{}, false
}

// buildSegment fills a segment first with pending records and then with records
// that a compaction copies.
func (l *Log) buildSegment() *pendingSegment {
	f := &pendingSegment{sequence: l.nextSequence, key: l.key(l.nextSequence), base: l.base}
	wire := segmentWire{Epoch: l.epoch, Sequence: l.nextSequence, Writer: l.writer}
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
		if f.copied == len(l.snapshot.remaining) {
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

// copyLive adds live records until the segment is full, and returns how many
// keys of the compaction it covers.
func (l *Log) copyLive(wire *segmentWire, size int) int {
	copied := 0
	for _, key := range l.snapshot.remaining {
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

func (l *Log) handleCreated(now time.Time, result Result) []Completion {
	switch {
	case result.err == nil:
		return l.commit(result.version)
	case errors.Is(result.err, storage.ErrConflict), errors.Is(result.err, storage.ErrUncertain):
		l.writing.uncertain = true
		return nil
	case errors.Is(result.err, storage.ErrUnavailable):
		l.requeue(now)
		return nil
	}
	l.writing.uncertain = true
	l.backOff(now)
	return nil
}

// requeue puts the records of a segment that certainly was not written back
// into the queue, so that they can still be cancelled.
func (l *Log) requeue(now time.Time) {
	l.pending = append(l.writing.records[:len(l.writing.records):len(l.writing.records)], l.pending...)
	l.writing = nil
	l.backOff(now)
}

// handleRead checks whether a write without a known result took effect.
func (l *Log) handleRead(now time.Time, result Result) []Completion {
	switch {
	case result.err != nil:
		l.backOff(now)
		return nil
	case !result.entry.Exists():
		// The write may still arrive, so the same bytes are sent again.
		l.writing.uncertain = false
		l.backOff(now)
		return nil
	case bytes.Equal(result.entry.Value(), l.writing.value):
		return l.commit(result.entry.Version())
	}
	return l.failAll(ErrFenced)
}

func (l *Log) commit(version storage.Version) []Completion {
	f := l.writing
	l.writing = nil
	l.fenced = true
	l.failures = 0
	l.retryAt = time.Time{}
	l.nextSequence = f.sequence + 1
	l.segments = append(l.segments, segment{sequence: f.sequence, key: f.key, version: version, bytes: len(f.value)})
	l.bytes += len(f.value)
	completions := make([]Completion, 0, len(f.records))
	for _, p := range f.records {
		l.applyRecord(p.record, p.data)
		completions = append(completions, Completion{token: p.token})
	}
	l.advanceSnapshot(f)
	return completions
}

func (l *Log) advanceSnapshot(f *pendingSegment) {
	if l.snapshot == nil || f.sequence < l.snapshot.first {
		return
	}
	l.snapshot.remaining = l.snapshot.remaining[f.copied:]
	if f.base > l.base {
		l.base = f.base
		l.snapshot = nil
		l.retireBelowBase()
	}
}

// retireBelowBase marks the segments that a snapshot has replaced for deletion.
func (l *Log) retireBelowBase() {
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
	l.expireOutcomes(now)
	keys := make([]Key, 0, len(l.live))
	for key := range l.live {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i].less(keys[j]) })
	l.snapshot = &snapshot{first: l.nextSequence, remaining: keys}
}

// expireOutcomes removes outcomes that are older than the retention period.
func (l *Log) expireOutcomes(now time.Time) {
	for key, r := range l.live {
		if r.record.Kind() == Ended && now.Sub(r.record.At()) > l.retention {
			l.liveBytes -= len(r.data)
			delete(l.live, key)
		}
	}
}

func (l *Log) handleDeleted(now time.Time, result Result) {
	if result.err != nil && !errors.Is(result.err, storage.ErrConflict) {
		// The segment may be deleted already; the next deletion then gets a
		// conflict.
		l.backOff(now)
		return
	}
	l.failures = 0
	l.obsolete = l.obsolete[1:]
	l.deleteAt = now.Add(l.interval)
}

// failAll stops the log and completes all queued records with the error.
func (l *Log) failAll(err error) []Completion {
	l.err = err
	var completions []Completion
	if l.writing != nil {
		l.pending = append(l.writing.records, l.pending...)
		l.writing = nil
	}
	for _, p := range l.pending {
		completions = append(completions, Completion{token: p.token, err: err})
	}
	l.pending = nil
	return completions
}

func (l *Log) backOff(now time.Time) {
	wait := minRetryDelay << min(l.failures, 6)
	l.failures++
	l.retryAt = now.Add(min(wait, maxRetryDelay))
}

// applyRecord makes the record the newest one of its request, unless a newer
// one is known.
func (l *Log) applyRecord(r Record, data []byte) {
	key := r.Key()
	known, ok := l.live[key]
	if ok && !r.supersedes(known.record) {
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

// replay reads the segments of the store. Segments below the newest base were
// replaced by a snapshot, or were written late by a fenced owner.
func (l *Log) replay(entries []storage.Entry) error {
	type read struct {
		wire    segmentWire
		records []Record
		entry   storage.Entry
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
		l.nextSequence = max(l.nextSequence, s.wire.Sequence+1)
		l.segments = append(l.segments, segment{sequence: s.wire.Sequence, key: s.entry.Key(), version: s.entry.Version(), bytes: len(s.entry.Value())})
		l.bytes += len(s.entry.Value())
		if s.wire.Sequence < l.base {
			continue
		}
		l.applyAll(s.records, s.wire.Records)
	}
	l.retireBelowBase()
	return nil
}

func (l *Log) applyAll(records []Record, raw []cbor.RawMessage) {
	for i, r := range records {
		l.applyRecord(r, raw[i])
	}
}
