package health

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
)

// countedConn counts the bytes that a connection carries above TCP.
type countedConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

// BenchmarkCheck reports the bytes of one check on a kept-alive connection, without TCP and
// IP headers.
func BenchmarkCheck(b *testing.B) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"healthy":true,"load":0.42}`))
	}))
	defer srv.Close()
	var n atomic.Int64
	c := NewChecker()
	c.client.Transport = &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		return countedConn{conn, &n}, err
	}}
	checks := 0
	for b.Loop() {
		if _, err := c.Check(context.Background(), srv.URL+"/health"); err != nil {
			b.Fatal(err)
		}
		checks++
	}
	b.ReportMetric(float64(n.Load())/float64(checks), "bytes/check")
}
