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
	// openSpread is the time over which the opening of a run's streams is spread.
	openSpread = 2 * time.Second
	// frameTimeout is how long a caller waits for the next frame of a stream.
	frameTimeout = 20 * time.Second
	// dialTimeout bounds opening a stream's connection.
	dialTimeout = 10 * time.Second
)

// runStream opens one stream, keeps it open until ctx ends and checks every frame.
// A stream that breaks is recorded and not opened again.
func (l *load) runStream(ctx context.Context, s spec, i int) {
	sleep(ctx, openSpread*time.Duration(i)/time.Duration(s.count))
	began := time.Now()
	nonce := fmt.Sprintf("s%d-%s-%d", l.opt.block, s.service, i)
	dctx, cancel := context.WithTimeout(ctx, dialTimeout)
	c, err := l.net.Dial(dctx, l.addrs[i%len(l.addrs)], s.addr)
	cancel()
	if err != nil {
		if ctx.Err() == nil {
			l.rec.update(func(r *Result) { r.StreamsFailed++; r.Errors["dial stream: "+err.Error()]++ })
		}
		return
	}
	defer func() { _ = c.Close() }()
	l.rec.recordOpening(time.Since(began))
	l.rec.update(func(r *Result) { r.StreamsOpened++ })
	opened := time.Now()
	if err := l.receiveFrames(ctx, c, s, nonce); err != nil && ctx.Err() == nil {
		l.rec.recordCut(Cut{Caller: c.LocalAddr().String(), What: nonce, Opened: opened, At: time.Now(), Cause: rootCause(err)})
		l.rec.update(func(r *Result) {
			r.StreamsBroken++
			if strings.Contains(err.Error(), "reset") {
				r.StreamsReset++
			}
			r.Errors["stream: "+rootCause(err)]++
		})
	}
}

// rootCause returns the innermost part of an error's text, by which errors are counted.
func rootCause(err error) string {
	s := errors.Cause(err).Error()
	if i := strings.LastIndex(s, ": "); i >= 0 {
		s = s[i+2:]
	}
	return s
}

// receiveFrames requests a stream on c and checks its frames. It returns nil when ctx
// ends, and an error when the stream breaks.
func (l *load) receiveFrames(ctx context.Context, c net.Conn, s spec, nonce string) error {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Now()) })
	defer stop()
	req, err := l.sendStreamRequest(ctx, c, fmt.Sprintf("http://%s/stream?nonce=%s&gap=%s", s.addr, nonce, l.opt.gap))
	if err != nil {
		return err
	}
	if !setFrameDeadline(ctx, c) {
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
		l.rec.update(func(r *Result) { r.Frames++ })
		if first == "" && len(f) == 4 {
			first = f[1]
		}
		if err := l.checkFrame(f, s, nonce, first, seq); err != nil {
			return err
		}
		if !setFrameDeadline(ctx, c) {
			return nil
		}
	}
	if err := lines.Err(); err != nil {
		return errors.Wrap(err, "frame")
	}
	return errors.New("stream ended")
}

// setFrameDeadline sets the deadline for the next frame and reports whether the run
// continues.
//
// ctx is checked after the deadline is set: the end of the run sets a deadline in the
// past, which this one may overwrite. Without the check, a caller would then wait up to
// frameTimeout (20 s) longer for a silent stream.
func setFrameDeadline(ctx context.Context, c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(frameTimeout))
	return ctx.Err() == nil
}

// sendStreamRequest sends the request for a stream. With the chatter option, the
// request's body stays open until ctx ends and carries a line every second.
func (l *load) sendStreamRequest(ctx context.Context, c net.Conn, url string) (*http.Request, error) {
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
			sleep(ctx, time.Second)
		}
		_ = w.Close()
	}()
	return req, nil
}

// checkFrame checks the fields of a frame: service, target, nonce and sequence number.
func (l *load) checkFrame(f []string, s spec, nonce, target string, seq int) error {
	switch {
	case len(f) != 4:
		return errors.New("malformed frame")
	case f[0] != s.service:
		l.rec.update(func(r *Result) { r.WrongService++ })
		return errors.New("wrong service")
	case f[2] != nonce:
		l.rec.update(func(r *Result) { r.Crossed++ })
		return errors.New("another caller's frame")
	case f[1] != target || f[3] != fmt.Sprint(seq):
		return errors.New("frame out of order or from another target")
	}
	return nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
