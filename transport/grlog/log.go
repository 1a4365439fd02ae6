// Package grlog makes loggers that never hold up the duty that logs. Lines go
// through a bounded ring to a duty that writes them; a budget of lines a second
// keeps a flood of ordinary ones from pushing out failures. What is dropped is
// counted and said.
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
	"geraniumrouter/state/grring"
)

// Bounds of the volume.
const (
	ringLines   = 1024
	infoLines   = 50  // a second, of what is ordinary
	otherLines  = 100 // a second, of warnings and errors
	reportEvery = grclock.Second
)

// Sink takes lines and writes them in the order in which they came. Set the
// exported fields before use.
type Sink struct {
	Out   io.Writer
	Clock grclock.Clock

	once  sync.Once
	lines *grring.Ring[[]byte]

	mu      sync.Mutex
	info    allowance
	other   allowance
	dropped int
}

// allowance is the lines of one kind that may be written now.
type allowance struct {
	left   float64
	filled grclock.Millis
}

func (a *allowance) take(now grclock.Millis, perSec float64) bool {
	a.left = min(perSec, a.left+float64(now-a.filled)*perSec/float64(grclock.Second))
	a.filled = now
	if a.left < 1 {
		return false
	}
	a.left--
	return true
}

func (s *Sink) init() {
	s.once.Do(func() { s.lines = grring.New[[]byte](ringLines) })
}

// Logger returns a logger that writes JSON lines of at least the level.
func (s *Sink) Logger(level zapcore.LevelEnabler) *zap.Logger {
	s.init()
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), s, level)
	return zap.New(&limited{core, s})
}

// Write takes a line; it is dropped when too many wait.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.lines.Offer(append([]byte(nil), line...)) {
		s.drop()
	}
	return len(line), nil
}

// Sync does nothing: Run writes each line as soon as it can.
func (s *Sink) Sync() error { return nil }

// Run writes lines until ctx ends, and then those that wait.
func (s *Sink) Run(ctx context.Context) error {
	s.init()
	alarm := s.Clock.NewAlarm(reportEvery)
	defer alarm.Stop()
	for {
		select {
		case line := <-s.lines.Out():
			s.write(line)
		case <-alarm.C:
			s.reportDropped()
			alarm.Reset(reportEvery)
		case <-ctx.Done():
			s.drain()
			return nil
		}
	}
}

func (s *Sink) drain() {
	for {
		select {
		case line := <-s.lines.Out():
			s.write(line)
		default:
			return
		}
	}
}

func (s *Sink) write(line []byte) {
	if _, err := s.Out.Write(line); err != nil {
		s.drop()
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

func (s *Sink) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped++
}

// allow reports whether the budget has room for a line of the level.
func (s *Sink) allow(level zapcore.Level) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if level >= zapcore.WarnLevel && s.other.take(now, otherLines) || level < zapcore.WarnLevel && s.info.take(now, infoLines) {
		return true
	}
	s.dropped++
	return false
}

// limited is a core that keeps to the budget of its sink.
type limited struct {
	zapcore.Core
	sink *Sink
}

// With returns the core with fields on every line.
func (l *limited) With(fields []zapcore.Field) zapcore.Core {
	return &limited{l.Core.With(fields), l.sink}
}

// Check decides whether a line is written.
func (l *limited) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !l.Enabled(entry.Level) || !l.sink.allow(entry.Level) {
		return checked
	}
	return checked.AddCore(entry, l)
}
