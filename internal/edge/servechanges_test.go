package edge

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"rosedale.dev/rosedale/internal/peer"
	"rosedale.dev/rosedale/internal/replica"
)

// A balancer asks with a revision older than this one's history, or of another era, so that
// only a full copy answers it. The copy must wait for a slot like the first copies of starting
// balancers and be counted: after the store has compacted its history, a whole data centre
// asks at once. Requests that changes answer need no slot.
func TestCopiesForOldRevisionsTakeSlots(t *testing.T) {
	t.Parallel()
	const listedAt = 100
	for _, c := range []struct {
		name, query string
		full        bool
	}{
		{"first copy", "after=0", true},
		{"before the history", "after=7&era=0", true},
		{"other era", "after=100&era=3", true},
		{"within the history", "after=100&era=0", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newTestControl(t)
			x.events = make(chan func(), eventQueue)
			x.copySlots = make(chan struct{}, 1)
			x.edge.packets = &packets{loaded: make(chan struct{})}
			close(x.edge.packets.loaded)
			x.replica.Replace([]replica.Item{{Key: "servers/i-1", Value: []byte(validTarget), Revision: 5}}, at(listedAt), 0)
			go func() {
				for f := range x.events {
					f()
				}
			}()
			t.Cleanup(func() { close(x.events) })
			ask := func() *httptest.ResponseRecorder {
				w := httptest.NewRecorder()
				x.serveChanges(w, httptest.NewRequest(http.MethodGet, changesPath+"?"+c.query, nil))
				return w
			}
			want := func(what string, status, sent, refused int) {
				t.Helper()
				w := ask()
				n := &x.edge.counts
				got := fmt.Sprintf("status %d, %d copies sent, %d refused", w.Code, n.copiesSent.Load(), n.copiesRefused.Load())
				if wanted := fmt.Sprintf("status %d, %d copies sent, %d refused", status, sent, refused); got != wanted {
					t.Errorf("%s: %s; want %s", what, got, wanted)
				}
				if w.Code != http.StatusOK {
					return
				}
				var ch peer.Changes
				if err := peer.Decode(w.Body.Bytes(), &ch); err != nil || ch.Full != c.full {
					t.Errorf("%s: full %v, %v", what, ch.Full, err)
				}
			}
			x.copySlots <- struct{}{}
			if c.full {
				want("all slots in use", http.StatusServiceUnavailable, 0, 1)
				<-x.copySlots
				want("a slot free", http.StatusOK, 1, 1)
			} else {
				want("all slots in use", http.StatusOK, 0, 0)
				<-x.copySlots
			}
			if len(x.copySlots) != 0 {
				t.Error("a slot stays in use after the answer")
			}
		})
	}
}
