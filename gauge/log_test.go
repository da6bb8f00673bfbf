package gauge

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// blockedWriter blocks all writes until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	lines   bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lines.Write(p)
}

// Guards against a process that blocks on a slow reader of its log, and against
// an unbounded number of log lines.
func TestLogNeverBlocks(t *testing.T) {
	is := is.New(t)
	registry := New(zerolog.Nop())
	w := &blockedWriter{release: make(chan struct{})}
	l := NewLogWriter(w, registry)
	log := l.Logger()
	start := time.Now()
	for range 4 * maxLinesPerSecond {
		log.Info().Msg("line")
	}
	is.True(time.Since(start) < 2*time.Second)
	is.True(registry.Counter(counterRateLimited) > 0)
	for range 3 * logBufferLines {
		log.Warn().Msg("line")
	}
	close(w.release)
	l.Close()
	is.True(registry.Counter(counterDropped) > 0)
}
