package gauge

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

type (
	// Lines writes log lines of a bounded number and never blocks on a slow
	// reader.
	Lines struct {
		writer diode.Writer
		logger zerolog.Logger
	}

	// lineLimit lets a number of lines pass in each second.
	lineLimit struct {
		registry *Registry
		second   atomic.Int64
		passed   atomic.Int64
	}
)

const (
	// linesPerSecond is how many lines below the level of a warning a process
	// writes in a second; a job takes about five.
	linesPerSecond = 1000

	// lineRing is how many lines may wait for the reader.
	lineRing = 4096

	counterLeftOut = "log.left_out"
	counterDropped = "log.dropped"
)

// NewLines returns lines that go to the writer. What is left out or dropped is
// counted in the registry.
func NewLines(to io.Writer, registry *Registry) *Lines {
	l := &Lines{writer: diode.NewWriter(to, lineRing, 0, func(missed int) {
		registry.Add(counterDropped, int64(missed))
	})}
	limit := &lineLimit{registry: registry}
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	l.logger = zerolog.New(l.writer).With().Timestamp().Logger().
		Sample(zerolog.LevelSampler{DebugSampler: limit, InfoSampler: limit})
	return l
}

// Logger returns the logger.
func (l *Lines) Logger() zerolog.Logger { return l.logger }

// Close writes the lines that wait and ends the writer.
func (l *Lines) Close() { _ = l.writer.Close() }

// Sample implements zerolog.Sampler.
func (l *lineLimit) Sample(zerolog.Level) bool {
	now := time.Now().Unix()
	if l.second.Swap(now) != now {
		l.passed.Store(0)
	}
	if l.passed.Add(1) <= linesPerSecond {
		return true
	}
	l.registry.Count(counterLeftOut)
	return false
}
