package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// requestTimeout bounds opening a request's connection, and again the exchange on it.
const requestTimeout = 10 * time.Second

// sendRequests sends requests with exponentially distributed intervals at the
// spec's mean rate until ctx ends, and waits for the requests in flight.
func (l *load) sendRequests(ctx context.Context, s spec) {
	rnd := rand.New(rand.NewPCG(uint64(l.opt.block), uint64(s.addr.Port())))
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		sleep(ctx, time.Duration(rnd.ExpFloat64()/s.rate*float64(time.Second)))
		if ctx.Err() != nil {
			return
		}
		id := fmt.Sprintf("r%d-%s-%s-%d", l.opt.block, s.service, s.addr, n)
		// The work is at least half the mean, plus an exponentially distributed part.
		work := int(float64(s.work) * (0.5 + rnd.ExpFloat64()/2))
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.rec.update(func(r *Result) { r.Requests++ })
			began := time.Now()
			o, err := l.sendRequest(s, id, work, n)
			if err != nil {
				l.rec.update(func(r *Result) { r.Errors["request: "+rootCause(err)]++ })
			}
			l.rec.recordOutcome(id, o, time.Since(began))
		}()
	}
}

// sendRequest opens a connection, sends one request and returns its outcome.
func (l *load) sendRequest(s spec, id string, work, n int) (outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	began := time.Now()
	c, err := l.net.Dial(ctx, l.addrs[n%len(l.addrs)], s.addr)
	if err != nil {
		if strings.Contains(err.Error(), "refused") || strings.Contains(err.Error(), "reset") {
			return refused, nil
		}
		return timedOut, err
	}
	l.rec.recordOpening(time.Since(began))
	defer func() { _ = c.Close() }()
	opened := time.Now()
	if err := l.exchange(c, s, id, work); err != nil {
		l.rec.recordCut(Cut{Caller: c.LocalAddr().String(), What: id, Opened: opened, At: time.Now(), Cause: rootCause(err)})
		return broken, err
	}
	return answered, nil
}

// exchange sends a request on c and checks the answer.
func (l *load) exchange(c net.Conn, s spec, id string, work int) error {
	_ = c.SetDeadline(time.Now().Add(requestTimeout))
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/note?id=%s&work=%d", s.addr, id, work), nil)
	if err != nil {
		return err
	}
	req.Close = true
	if err := req.Write(c); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	l.checkAnswer(strings.Fields(string(b)), s, id)
	return nil
}

// checkAnswer counts an answer of another service or to another request. Its
// fields are service, target and request identifier.
func (l *load) checkAnswer(f []string, s spec, id string) {
	if len(f) != 3 || f[0] != s.service {
		l.rec.update(func(r *Result) { r.WrongService++ })
		return
	}
	if f[2] != id {
		l.rec.update(func(r *Result) { r.Crossed++ })
	}
}
