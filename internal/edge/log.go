package edge

import (
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"rosedale.dev/rosedale/platform"
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
	done  chan struct{}
	lost  atomic.Uint64
	told  uint64 // of the lost lines
}

// NewLogger returns a logger for the VM of boot.
func NewLogger(w io.Writer, level string, boot platform.Boot) (*Logger, error) {
	lv, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	l := &Logger{lines: make(chan []byte, logQueue), done: make(chan struct{})}
	conf := zap.NewProductionEncoderConfig()
	conf.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(conf), zapcore.AddSync(l), lv)
	core = zapcore.NewSamplerWithOptions(core, time.Second, linesPerSecond, 0, zapcore.SamplerHook(l.sampled))
	l.Logger = zap.New(core).With(zap.String("vm", boot.VM), zap.String("dataCenter", boot.DataCenter))
	go l.write(w)
	return l, nil
}

// Lost returns the number of lines that were left out.
func (l *Logger) Lost() uint64 { return l.lost.Load() }

// reportLost says how many lines were left out since the last call.
func (l *Logger) reportLost() {
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
	defer close(l.done)
	for line := range l.lines {
		if _, err := w.Write(line); err != nil {
			l.lost.Add(1)
		}
	}
}

// Close writes what is queued, for a moment at most, and ends the logger.
func (l *Logger) Close() {
	close(l.lines)
	select {
	case <-l.done:
	case <-time.After(200 * time.Millisecond):
	}
}

// Reloads reads the settings file again at each signal and says what it found.
// Addresses and names of a running process do not change; the platform starts a
// new one for that.
func (l *Logger) Reloads(signals <-chan os.Signal, path string) {
	for range signals {
		boot, err := platform.ReadBoot(path)
		if err != nil {
			l.Error("settings not usable; the old ones stay in force", zap.Error(err))
			continue
		}
		l.Info("settings read again", zap.Stringer("store", boot.Store), zap.Int("seeds", len(boot.Seeds)))
	}
}
