// Package logging writes the daemons' logs as JSON lines without blocking on a slow reader.
package logging

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueLength is the maximum number of lines that wait for a slow reader. Further
	// ones are counted and dropped.
	queueLength = 512
	// linesPerSecond is the maximum number of lines per second with the same message
	// and level. A line costs about 10 us of processor time on a small VM.
	linesPerSecond = 100
)

// Logger writes JSON lines without blocking: lines that do not fit its queue are counted
// and dropped.
type Logger struct {
	*zap.Logger
	lines    chan []byte
	flush    chan chan struct{} // each channel is closed once all lines before it are written
	lost     atomic.Uint64
	reported uint64 // lost lines that ReportLost has logged
}

// New returns a logger for the daemon of a VM that writes lines at or above a level to w.
// It returns an error for an unknown level.
func New(w io.Writer, level, vm, dataCenter string) (*Logger, error) {
	lv, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "parse log level")
	}
	l := &Logger{lines: make(chan []byte, queueLength), flush: make(chan chan struct{})}
	conf := zap.NewProductionEncoderConfig()
	conf.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(conf), zapcore.AddSync(l), lv)
	core = zapcore.NewSamplerWithOptions(core, time.Second, linesPerSecond, 0, zapcore.SamplerHook(l.countDropped))
	l.Logger = zap.New(core).With(zap.String("vm", vm), zap.String("dataCenter", dataCenter))
	go l.write(w)
	return l, nil
}

// Lost returns the number of lines that were dropped or that could not be written.
func (l *Logger) Lost() uint64 { return l.lost.Load() }

// ReportLost logs the number of lines lost since the last call, if there were any.
func (l *Logger) ReportLost() {
	n := l.lost.Load()
	if n == l.reported {
		return
	}
	l.Warn("log lines left out", zap.Uint64("lines", n-l.reported), zap.Uint64("total", n))
	l.reported = n
}

// countDropped counts the lines that the sampler drops; see linesPerSecond.
func (l *Logger) countDropped(_ zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped != 0 {
		l.lost.Add(1)
	}
}

// Write implements io.Writer for zap. It never blocks: a line that does not fit the queue is
// counted and dropped.
func (l *Logger) Write(b []byte) (int, error) {
	line := append([]byte(nil), b...)
	select {
	case l.lines <- line:
	default:
		l.lost.Add(1)
	}
	return len(b), nil
}

func (l *Logger) write(w io.Writer) {
	for {
		select {
		case line := <-l.lines:
			l.writeLine(w, line)
		case done := <-l.flush:
			for len(l.lines) > 0 {
				l.writeLine(w, <-l.lines)
			}
			close(done)
		}
	}
}

func (l *Logger) writeLine(w io.Writer, line []byte) {
	if _, err := w.Write(line); err != nil {
		l.lost.Add(1)
	}
}

// closeTimeout is the maximum time for which Close waits.
const closeTimeout = 200 * time.Millisecond

// Close writes the queued lines and waits for at most closeTimeout. Goroutines that end
// later may still log afterwards, but these lines may be lost.
func (l *Logger) Close() {
	done := make(chan struct{})
	limit := time.After(closeTimeout)
	select {
	case l.flush <- done:
	case <-limit:
		return
	}
	select {
	case <-done:
	case <-limit:
	}
}
