// Package grlog makes loggers that never block the goroutine that logs, and reads the
// logs that they write. Log lines go through a bounded queue to a goroutine that writes
// them. Separate rate limits keep a flood of info lines from displacing warnings and
// errors. Dropped lines are counted, and the count is logged.
//
//	sink := &grlog.Sink{Out: os.Stdout, Clock: clock}
//	log := sink.Logger(zapcore.InfoLevel)
//	group.Start(sink.Run)
package grlog

import (
	"context"
	"io"
	"sync"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"geraniumrouter/state/grclock"
	"geraniumrouter/state/grqueue"
)

// Limits of the log volume. The rates are also the burst sizes.
const (
	queueLines     = 1024
	infoPerSec     = 50             // lines below the warning level
	warnPerSec     = 100            // warnings and errors
	reportInterval = grclock.Second // between reports of dropped lines
)

// Sink queues log lines and writes them in order. Set the exported fields before use.
type Sink struct {
	Out   io.Writer
	Clock grclock.Clock

	once  sync.Once
	queue *grqueue.Queue[[]byte]

	mu         sync.Mutex
	infoBucket tokenBucket
	warnBucket tokenBucket
	dropped    int
}

// tokenBucket is a token bucket for log lines.
type tokenBucket struct {
	tokens     float64
	refilledAt grclock.Millis
}

func (b *tokenBucket) take(now grclock.Millis, perSec float64) bool {
	b.tokens = min(perSec, b.tokens+float64(now-b.refilledAt)*perSec/float64(grclock.Second))
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (s *Sink) init() {
	s.once.Do(func() { s.queue = grqueue.New[[]byte](queueLines) })
}

// Logger returns a logger that writes lines of the level and above as JSON.
func (s *Sink) Logger(level zapcore.LevelEnabler) *zap.Logger {
	s.init()
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), s, level)
	return zap.New(&rateLimitedCore{core, s})
}

// Write queues a line, or drops it if the queue is full. It never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.queue.TryPut(append([]byte(nil), line...)) {
		s.countDropped()
	}
	return len(line), nil
}

// Sync does nothing: Run writes each line as soon as it can.
func (s *Sink) Sync() error { return nil }

// Run writes lines until ctx is cancelled, and then those that are still queued. It
// always returns nil.
func (s *Sink) Run(ctx context.Context) error {
	s.init()
	timer := s.Clock.NewTimer(reportInterval)
	defer timer.Stop()
	for {
		select {
		case line := <-s.queue.Items():
			s.write(line)
		case <-timer.C:
			s.reportDropped()
			timer.Reset(reportInterval)
		case <-ctx.Done():
			s.drain()
			return nil
		}
	}
}

func (s *Sink) drain() {
	for {
		select {
		case line := <-s.queue.Items():
			s.write(line)
		default:
			return
		}
	}
}

func (s *Sink) write(line []byte) {
	if _, err := s.Out.Write(line); err != nil {
		s.countDropped()
	}
}

func (s *Sink) reportDropped() {
	s.mu.Lock()
	n := s.dropped
	s.dropped = 0
	s.mu.Unlock()
	if n > 0 {
		s.Logger(zapcore.WarnLevel).Warn("log lines dropped", zap.Int("count", n))
	}
}

func (s *Sink) countDropped() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped++
}

// allow reports whether the rate limit permits a line of the level, and counts the line
// as dropped if not.
func (s *Sink) allow(level zapcore.Level) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if level >= zapcore.WarnLevel && s.warnBucket.take(now, warnPerSec) || level < zapcore.WarnLevel && s.infoBucket.take(now, infoPerSec) {
		return true
	}
	s.dropped++
	return false
}

// rateLimitedCore is a zapcore.Core that applies the rate limits of its sink.
type rateLimitedCore struct {
	zapcore.Core
	sink *Sink
}

// With implements zapcore.Core; the fields are added to every line.
func (l *rateLimitedCore) With(fields []zapcore.Field) zapcore.Core {
	return &rateLimitedCore{l.Core.With(fields), l.sink}
}

// Check implements zapcore.Core; it drops lines beyond the rate limit.
func (l *rateLimitedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !l.Enabled(entry.Level) || !l.sink.allow(entry.Level) {
		return checked
	}
	return checked.AddCore(entry, l)
}
