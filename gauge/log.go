package gauge

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

type (
	// LogWriter is an asynchronous log writer with a rate limit. It drops lines
	// instead of blocking on a slow reader.
	LogWriter struct {
		writer diode.Writer
		logger zerolog.Logger
	}

	// rateLimiter is the sampler that limits the log lines per second.
	rateLimiter struct {
		registry *Registry
		second   atomic.Int64
		passed   atomic.Int64
	}
)

const (
	// maxLinesPerSecond limits the log lines below the level of a warning. A job
	// takes about five.
	maxLinesPerSecond = 1000

	// logBufferLines is how many lines are buffered for the reader.
	logBufferLines = 4096

	counterRateLimited = "log.left_out"
	counterDropped     = "log.dropped"
)

// NewLogWriter returns a log writer on top of the given one. The registry
// counts the lines that the rate limit leaves out and those that a slow reader
// misses. It sets zerolog's time format for the whole process.
func NewLogWriter(to io.Writer, registry *Registry) *LogWriter {
	l := &LogWriter{writer: diode.NewWriter(to, logBufferLines, 0, func(missed int) {
		registry.Add(counterDropped, int64(missed))
	})}
	limiter := &rateLimiter{registry: registry}
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	l.logger = zerolog.New(l.writer).With().Timestamp().Logger().
		Sample(zerolog.LevelSampler{DebugSampler: limiter, InfoSampler: limiter})
	return l
}

// Logger returns the logger that writes here, with a timestamp in each line.
func (l *LogWriter) Logger() zerolog.Logger { return l.logger }

// Close writes the buffered lines and stops the writer.
func (l *LogWriter) Close() { _ = l.writer.Close() }

// Sample implements zerolog.Sampler. It reports whether the line is written.
func (l *rateLimiter) Sample(zerolog.Level) bool {
	now := time.Now().Unix()
	if l.second.Swap(now) != now {
		l.passed.Store(0)
	}
	if l.passed.Add(1) <= maxLinesPerSecond {
		return true
	}
	l.registry.Count(counterRateLimited)
	return false
}
