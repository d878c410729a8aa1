package target

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"rosedale.dev/rosedale/internal/catalogue"
)

// maxFrameGap is the longest time between frames that a caller may request.
const maxFrameGap = 10 * time.Second

func (e *Endpoint) handler(c catalogue.Class) http.Handler {
	if c == catalogue.Stream {
		return http.HandlerFunc(e.stream)
	}
	return http.HandlerFunc(e.request)
}

// stream sends numbered frames until the caller disconnects. Each frame carries
// the caller's nonce, by which the caller detects frames of another stream.
func (e *Endpoint) stream(w http.ResponseWriter, r *http.Request) {
	nonce := r.URL.Query().Get("nonce")
	gap, err := time.ParseDuration(r.URL.Query().Get("gap"))
	if err != nil || gap <= 0 || gap > maxFrameGap {
		http.Error(w, "invalid gap", http.StatusBadRequest)
		return
	}
	c := connectionOf(r)
	e.rec.streamOpened(e, c)
	defer e.rec.streamClosed(e, c)
	rc := http.NewResponseController(w)
	_ = rc.EnableFullDuplex() // callers may send while they receive
	t := time.NewTicker(gap)
	defer t.Stop()
	for seq := 0; ; seq++ {
		if _, err := fmt.Fprintf(w, "%s %s %s %d\n", e.Service.Name, e.Target.Address, nonce, seq); err != nil {
			return
		}
		if rc.Flush() != nil {
			return
		}
		select {
		case <-t.C:
		case <-r.Context().Done():
			return
		}
	}
}

// request executes one request: it records the run, sleeps for the given work
// in milliseconds and answers with the request's identifier.
func (e *Endpoint) request(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	work, err := strconv.Atoi(q.Get("work"))
	if err != nil {
		http.Error(w, "invalid work", http.StatusBadRequest)
		return
	}
	e.rec.recordRun(e, q.Get("id"), connectionOf(r))
	time.Sleep(time.Duration(work)*time.Millisecond + e.behaviour().Slow)
	w.Header().Set("Connection", "close")
	_, _ = fmt.Fprintf(w, "%s %s %s", e.Service.Name, e.Target.Address, q.Get("id"))
}
