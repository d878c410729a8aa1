package logging

import (
	"io"
	"testing"
	"time"

	"go.uber.org/zap"
)

// Guards against logging that blocks the balancer when the pipe of standard output is full,
// because its reader has stopped: lines must be dropped and counted.
func TestLogNeverBlocks(t *testing.T) {
	r, w := io.Pipe() // without a reader, the first write blocks forever
	l, err := New(w, "info", "a", "b")
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	for i := range 100000 {
		l.Info("flow", zap.Int("n", i))
		l.Info("message "+string(rune('a'+i%26)), zap.Int("n", i))
	}
	if took := time.Since(start); took > 3*time.Second {
		t.Errorf("200000 lines took %v", took)
	}
	if l.Lost() == 0 {
		t.Error("no dropped line was counted")
	}
	l.Close()
	l.Info("a goroutine that ends later") // must not panic
	_ = r.Close()
}

func BenchmarkDecisionLine(b *testing.B) {
	l, err := New(io.Discard, "info", "a", "b")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	b.ReportAllocs()
	for i := range b.N {
		l.Info("flow", zap.String("caller", "100.64.0.1:1"), zap.String("outcome", "opened_near"), zap.Int("n", i))
	}
}
