package stall

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"
)

const testStall = 100 * time.Millisecond

// get reads a response whose bytes come at an interval, with a reader of the given limits.
func get(t *testing.T, interval, total time.Duration, n int) (int, error) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for range n {
			select {
			case <-time.After(interval):
			case <-r.Context().Done():
				return
			}
			_, _ = w.Write([]byte("x"))
			_ = http.NewResponseController(w).Flush()
		}
	}))
	defer s.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	timer := time.AfterFunc(time.Hour, cancel)
	defer timer.Stop()
	b, err := io.ReadAll(NewReader(resp.Body, timer, testStall, total))
	return len(b), err
}

// A transfer takes much longer than the limit, but never stops for so long. It must not be ended.
func TestSlowTransferIsNotEnded(t *testing.T) {
	if n, err := get(t, testStall/4, 0, 12); n != 12 || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
}

// A transfer stops, or takes longer than a total that was set. It must be ended.
func TestStoppedTransferIsEnded(t *testing.T) {
	if _, err := get(t, 5*testStall, 0, 2); !errors.Is(err, context.Canceled) {
		t.Errorf("a transfer that stops: %v", err)
	}
	if _, err := get(t, testStall/4, testStall, 40); !errors.Is(err, context.Canceled) {
		t.Errorf("a transfer that takes too long: %v", err)
	}
}

// A stream sends slowly, and stops. It must be read until it stops.
func TestSlowStreamIsRead(t *testing.T) {
	from, to := net.Pipe()
	defer func() { _ = from.Close() }()
	go func() {
		for range 12 {
			time.Sleep(testStall / 4)
			_, _ = from.Write([]byte("x"))
		}
	}()
	b, err := io.ReadAll(NewDeadlineReader(to, to.SetReadDeadline, testStall))
	if len(b) != 12 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%d bytes, %v", len(b), err)
	}
}

// A receiver reads slowly, and another one not at all. Only the latter's response must fail.
func TestOnlyStoppedReceiverFails(t *testing.T) {
	const size = 16 << 20 // more than the buffers of a connection hold
	failed := make(chan error, 2)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := NewWriter(w, http.NewResponseController(w).SetWriteDeadline, testStall).Write(make([]byte, size))
		failed <- err
	}))
	defer s.Close()
	receive := func(read func(io.Reader)) error {
		resp, err := http.Get(s.URL)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		read(resp.Body)
		return <-failed
	}
	slowly := func(r io.Reader) {
		for b := make([]byte, 1<<20); ; time.Sleep(testStall / 4) {
			if _, err := io.ReadFull(r, b); err != nil {
				return
			}
		}
	}
	if err := receive(slowly); err != nil {
		t.Errorf("a slow receiver: %v", err)
	}
	if err := receive(func(io.Reader) { time.Sleep(3 * testStall) }); err == nil {
		t.Error("a receiver that reads nothing did not fail")
	}
}
