package hedge

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/standin/direct"
)

const testDelay = 100 * time.Millisecond

// server counts requests and responds after a wait of its own for each of them.
type server struct {
	*httptest.Server
	ln       *direct.Listener
	requests atomic.Int64
	wait     atomic.Int64 // as time.Duration
}

func newServer(t *testing.T) *server {
	t.Helper()
	s := &server{}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		select {
		case <-time.After(time.Duration(s.wait.Load())):
		case <-r.Context().Done():
		}
		_, _ = io.Copy(w, r.Body)
	}))
	_ = s.Listener.Close()
	ln, err := direct.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.ln, s.Listener = ln, ln
	s.Start()
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

// ask sends a request with a body and returns the response's.
func ask(t *testing.T, c *Client, s *server, timeout time.Duration) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.URL, io.NopCloser(nil))
	if err != nil {
		t.Fatal(err)
	}
	req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(&onceReader{text: "x"}), nil }
	resp, err := c.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// onceReader returns a text once.
type onceReader struct{ text string }

func (r *onceReader) Read(b []byte) (int, error) {
	n := copy(b, r.text)
	r.text = r.text[n:]
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

func newTestClient() *Client {
	return NewClient(&http.Transport{DialContext: (&net.Dialer{}).DialContext}, testDelay)
}

// A pooled connection has gone silent. The request must be sent again over a new one.
func TestSilentConnectionIsHedged(t *testing.T) {
	s, c := newServer(t), newTestClient()
	for range 3 {
		if _, err := ask(t, c, s, time.Second); err != nil {
			t.Fatal(err)
		}
		s.ln.Silence()
		if got, err := ask(t, c, s, 3*testDelay); err != nil || got != "x" {
			t.Errorf("after the silence: %q, %v", got, err)
		}
	}
	if n := c.Hedges.Load(); n != 3 {
		t.Errorf("%d requests sent again, want 3", n)
	}
}

// A server that is slow, or that was not asked over a pooled connection, is not asked more
// often than twice and once.
func TestSlowServerIsAskedTwiceAtMost(t *testing.T) {
	s, c := newServer(t), newTestClient()
	s.wait.Store(int64(3 * testDelay))
	for i, want := range []int64{1, 3} { // over a new connection, over a pooled one and again
		if got, err := ask(t, c, s, 10*testDelay); err != nil || got != "x" {
			t.Errorf("request %d: %q, %v", i, got, err)
		}
		if n := s.requests.Load(); n != want {
			t.Errorf("server got %d requests, want %d", n, want)
		}
	}
}

// Neither transmission is answered in time. The error must say over which connection.
func TestErrorTellsTheConnection(t *testing.T) {
	s, c := newServer(t), newTestClient()
	if _, err := ask(t, c, s, time.Second); err != nil {
		t.Fatal(err)
	}
	s.ln.Deafen(true)
	_, err := ask(t, c, s, 3*testDelay)
	var failed *Error
	if !errors.As(err, &failed) || !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("error %v, want an *Error of a deadline", err)
	}
}

// An idle connection may have been forgotten on its way. A request after a pause must use a
// new one.
func TestIdleConnectionIsNotReused(t *testing.T) {
	s, c := newServer(t), newTestClient()
	if _, err := ask(t, c, s, time.Second); err != nil {
		t.Fatal(err)
	}
	time.Sleep(maxIdle + testDelay)
	s.ln.Silence()
	if got, err := ask(t, c, s, testDelay); err != nil || got != "x" {
		t.Errorf("after the pause: %q, %v", got, err)
	}
	if n := c.Hedges.Load(); n != 0 {
		t.Errorf("%d requests sent again, want none", n)
	}
}
