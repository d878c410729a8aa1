package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"rosedale.dev/rosedale/internal/standin/platform"
	"rosedale.dev/rosedale/internal/store"
)

func newTestStore(t *testing.T) (*store.Consul, string) {
	t.Helper()
	s := httptest.NewServer(platform.New().Handler())
	t.Cleanup(s.Close)
	return store.NewConsul(s.URL, ""), s.URL
}

// Two operators write the same entry from the same version. The first write succeeds, the
// second gets ErrConflict, and so does a delete of the old version.
func TestOneOfTwoWritersWins(t *testing.T) {
	ctx := context.Background()
	c, _ := newTestStore(t)
	if err := c.Swap(ctx, "k", []byte("first"), 0); err != nil {
		t.Fatal(err)
	}
	old, err := c.Get(ctx, "k")
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Swap(ctx, "k", []byte("winner"), old.Index); err != nil {
		t.Fatal(err)
	}
	if err := c.Swap(ctx, "k", []byte("loser"), old.Index); err != store.ErrConflict {
		t.Fatalf("the second write: %v", err)
	}
	if err := c.Delete(ctx, "k", old.Index); err != store.ErrConflict {
		t.Fatalf("the delete: %v", err)
	}
	if p, err := c.Get(ctx, "k"); err != nil || string(p.Value) != "winner" || p.Created != old.Created {
		t.Fatalf("stored after the race: %+v, error %v", p, err)
	}
}

// The response to a write is lost after the write took effect. The error must not be
// ErrConflict, which would mean that nothing was written.
func TestLostResponseIsNotAConflict(t *testing.T) {
	ctx := context.Background()
	c, url := newTestStore(t)
	resp, err := http.Post(url+"/faults", "application/json", strings.NewReader(`{"loseAnswers":1}`))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if err := c.Swap(ctx, "k", []byte("v"), 0); err == nil || err == store.ErrConflict {
		t.Fatalf("the write: %v", err)
	}
	if p, err := c.Get(ctx, "k"); err != nil || string(p.Value) != "v" {
		t.Fatalf("stored after the lost response: %+v, error %v", p, err)
	}
}

// A watch returns the listing when something below its prefix changes. A prefix without
// keys yields an empty listing and no error.
func TestWatchReturnsOnChange(t *testing.T) {
	ctx := context.Background()
	c, _ := newTestStore(t)
	if err := c.Swap(ctx, "elsewhere", []byte("v"), 0); err != nil {
		t.Fatal(err)
	}
	empty, err := c.List(ctx, "p/", 0)
	if err != nil || len(empty.Pairs) > 0 || empty.Index == 0 {
		t.Fatalf("listing of a prefix without keys: %+v, error %v", empty, err)
	}
	got := make(chan store.Listing, 1)
	go func() {
		l, err := c.List(ctx, "p/", empty.Index)
		if err != nil {
			t.Error(err)
		}
		got <- l
	}()
	if err := c.Swap(ctx, "p/a", []byte("new"), 0); err != nil {
		t.Fatal(err)
	}
	select {
	case l := <-got:
		if len(l.Pairs) != 1 || string(l.Pairs[0].Value) != "new" || l.Index <= empty.Index {
			t.Fatalf("listing after the change: %+v", l)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the watch did not return")
	}
}

// A proxy or another server responds instead of the store. Its response must not be taken
// for an empty catalogue.
func TestUnexpectedResponsesAreErrors(t *testing.T) {
	for _, a := range []struct {
		code  int
		index string
		body  string
	}{
		{http.StatusNotFound, "", "no such page"},
		{http.StatusOK, "", "[]"},
		{http.StatusOK, "7", "<html>"},
		{http.StatusOK, "7", `{"Key":"not a list"}`},
		{http.StatusServiceUnavailable, "7", "[]"},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if a.index != "" {
				w.Header().Set("X-Consul-Index", a.index)
			}
			w.WriteHeader(a.code)
			_, _ = w.Write([]byte(a.body))
		}))
		if l, err := store.NewConsul(s.URL, "").List(context.Background(), "p/", 0); err == nil {
			t.Errorf("response %d %q was accepted as %+v", a.code, a.body, l)
		}
		s.Close()
	}
}
