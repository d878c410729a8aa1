// Package logging writes the daemons' JSON lines without waiting for their reader.
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
	// logQueue is the number of lines that wait for a slow reader of the log;
	// further ones are counted and left out.
	logQueue = 512
	// linesPerSecond bounds the lines of one message and level: a line costs
	// about 10 us of a small VM's processor.
	linesPerSecond = 100
)

// Logger writes JSON lines without ever waiting for their reader.
type Logger struct {
	*zap.Logger
	lines chan []byte
	flush chan chan struct{} // each is closed when all lines before it are written
	lost  atomic.Uint64
	told  uint64 // of the lost lines
}

// New returns a logger of a VM's daemon for lines at or above a level.
func New(w io.Writer, level, vm, dataCenter string) (*Logger, error) {
	lv, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	l := &Logger{lines: make(chan []byte, logQueue), flush: make(chan chan struct{})}
	conf := zap.NewProductionEncoderConfig()
	conf.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(conf), zapcore.AddSync(l), lv)
	core = zapcore.NewSamplerWithOptions(core, time.Second, linesPerSecond, 0, zapcore.SamplerHook(l.sampled))
	l.Logger = zap.New(core).With(zap.String("vm", vm), zap.String("dataCenter", dataCenter))
	go l.write(w)
	return l, nil
}

// Lost returns the number of lines that were left out.
func (l *Logger) Lost() uint64 { return l.lost.Load() }

// ReportLost says how many lines were left out since the last call.
func (l *Logger) ReportLost() {
	n := l.lost.Load()
	if n == l.told {
		return
	}
	l.Warn("log lines left out", zap.Uint64("lines", n-l.told), zap.Uint64("total", n))
	l.told = n
}

func (l *Logger) sampled(_ zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped != 0 {
		l.lost.Add(1)
	}
}

// Write implements io.Writer for zap. It never blocks: a line that does not fit
// the queue is lost and counted.
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

// closeTimeout bounds the writing of the last lines.
const closeTimeout = 200 * time.Millisecond

// Close writes what is queued, for a moment at most. Lines may still be logged
// after it, as goroutines end later than the process's work, but need not appear.
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
