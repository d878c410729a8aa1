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

const requestTimeout = 10 * time.Second

// requests sends requests at random intervals of a mean rate until ctx ends
// and waits for those under way.
func (l *load) requests(ctx context.Context, s spec) {
	rnd := rand.New(rand.NewPCG(uint64(l.opt.block), uint64(s.addr.Port())))
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		wait(ctx, time.Duration(rnd.ExpFloat64()/s.rate*float64(time.Second)))
		if ctx.Err() != nil {
			return
		}
		id := fmt.Sprintf("r%d-%s-%s-%d", l.opt.block, s.service, s.addr, n)
		work := int(float64(s.work) * (0.5 + rnd.ExpFloat64()/2))
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.rec.do(func(r *Result) { r.Requests++ })
			began := time.Now()
			o, err := l.request(s, id, work, n)
			if err != nil {
				l.rec.do(func(r *Result) { r.Errors["request: "+cause(err)]++ })
			}
			l.rec.request(id, o, time.Since(began))
		}()
	}
}

func (l *load) request(s spec, id string, work, n int) (outcome, error) {
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
	l.rec.opening(time.Since(began))
	defer func() { _ = c.Close() }()
	opened := time.Now()
	if err := l.exchange(c, s, id, work); err != nil {
		l.rec.cut(Cut{Caller: c.LocalAddr().String(), What: id, Opened: opened, At: time.Now(), Cause: cause(err)})
		return broken, err
	}
	return answered, nil
}

// exchange sends a request on its connection and checks the answer.
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

func (l *load) checkAnswer(f []string, s spec, id string) {
	if len(f) != 3 || f[0] != s.service {
		l.rec.do(func(r *Result) { r.WrongService++ })
		return
	}
	if f[2] != id {
		l.rec.do(func(r *Result) { r.Crossed++ })
	}
}
