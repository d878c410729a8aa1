package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// openSpread is the time over which a run's streams open.
	openSpread = 2 * time.Second
	// frameTimeout is how long a caller waits for a frame before it gives up.
	frameTimeout = 20 * time.Second
	dialTimeout  = 10 * time.Second
)

// stream keeps one stream open until ctx ends and checks every frame.
func (l *load) stream(ctx context.Context, s spec, i int) {
	wait(ctx, openSpread*time.Duration(i)/time.Duration(s.count))
	began := time.Now()
	nonce := fmt.Sprintf("s%d-%s-%d", l.opt.block, s.service, i)
	dctx, cancel := context.WithTimeout(ctx, dialTimeout)
	c, err := l.net.Dial(dctx, l.addrs[i%len(l.addrs)], s.addr)
	cancel()
	if err != nil {
		if ctx.Err() == nil {
			l.rec.do(func(r *Result) { r.StreamsFailed++; r.Errors["dial stream: "+err.Error()]++ })
		}
		return
	}
	defer func() { _ = c.Close() }()
	l.rec.opening(time.Since(began))
	l.rec.do(func(r *Result) { r.StreamsOpened++ })
	opened := time.Now()
	if err := l.frames(ctx, c, s, nonce); err != nil && ctx.Err() == nil {
		l.rec.cut(Cut{Caller: c.LocalAddr().String(), What: nonce, Opened: opened, At: time.Now(), Cause: cause(err)})
		l.rec.do(func(r *Result) {
			r.StreamsBroken++
			if strings.Contains(err.Error(), "reset") {
				r.StreamsReset++
			}
			r.Errors["stream: "+cause(err)]++
		})
	}
}

func cause(err error) string {
	s := errors.Cause(err).Error()
	if i := strings.LastIndex(s, ": "); i >= 0 {
		s = s[i+2:]
	}
	return s
}

func (l *load) frames(ctx context.Context, c net.Conn, s spec, nonce string) error {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Now()) })
	defer stop()
	req, err := l.ask(ctx, c, fmt.Sprintf("http://%s/stream?nonce=%s&gap=%s", s.addr, nonce, l.opt.gap))
	if err != nil {
		return err
	}
	if !patient(ctx, c) {
		return nil
	}
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, req)
	if err != nil {
		return errors.Wrap(err, "response")
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	first := ""
	for seq := 0; lines.Scan(); seq++ {
		f := strings.Fields(lines.Text())
		l.rec.do(func(r *Result) { r.Frames++ })
		if first == "" && len(f) == 4 {
			first = f[1]
		}
		if err := l.check(f, s, nonce, first, seq); err != nil {
			return err
		}
		if !patient(ctx, c) {
			return nil
		}
	}
	if err := lines.Err(); err != nil {
		return errors.Wrap(err, "frame")
	}
	return errors.New("stream ended")
}

// patient has the next read wait for a frame, and reports whether the run goes on.
//
// Failure: the run ends, which lets reads fail at once, just before a read's own deadline
// is set. It shows as a caller that waits for a silent stream for 20 s more. So the run is
// looked at after the deadline was set.
func patient(ctx context.Context, c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(frameTimeout))
	return ctx.Err() == nil
}

// ask sends the request for a stream. With chatter its body never ends.
func (l *load) ask(ctx context.Context, c net.Conn, url string) (*http.Request, error) {
	if !l.opt.chatter {
		req, err := http.NewRequest(http.MethodGet, url, nil)
		if err != nil {
			return nil, err
		}
		return req, errors.Wrap(req.Write(c), "write")
	}
	r, w := io.Pipe()
	req, err := http.NewRequest(http.MethodPost, url, r)
	if err != nil {
		return nil, err
	}
	go func() { _ = req.Write(c) }()
	go func() {
		for ctx.Err() == nil {
			if _, err := w.Write([]byte("still watching\n")); err != nil {
				return
			}
			wait(ctx, time.Second)
		}
		_ = w.Close()
	}()
	return req, nil
}

func (l *load) check(f []string, s spec, nonce, target string, seq int) error {
	switch {
	case len(f) != 4:
		return errors.New("malformed frame")
	case f[0] != s.service:
		l.rec.do(func(r *Result) { r.WrongService++ })
		return errors.New("wrong service")
	case f[2] != nonce:
		l.rec.do(func(r *Result) { r.Crossed++ })
		return errors.New("another caller's frame")
	case f[1] != target || f[3] != fmt.Sprint(seq):
		return errors.New("frame out of order")
	}
	return nil
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
