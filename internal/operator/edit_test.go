package operator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/standin/platform"
	"rosedale.dev/rosedale/internal/store"
)

func testEntry(t *testing.T, connections int) *catalogue.Service {
	t.Helper()
	s, err := catalogue.Parse([]byte(fmt.Sprintf("name = \"catalogue\"\nowner = \"kavango\"\nnumber = 101\n[limits]\nslots = 2\nconnections = %d\n[[address]]\naddress = \"203.0.113.10:80\"\nclass = \"stream\"\n", connections)))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// lossy is a store that loses calls and responses pseudo-randomly.
type lossy struct {
	store.Store
	mu  sync.Mutex
	rnd *rand.Rand
}

var errLost = errors.New("connection reset")

func (l *lossy) Swap(ctx context.Context, key string, value []byte, old uint64) error {
	l.mu.Lock()
	x := l.rnd.IntN(4)
	l.mu.Unlock()
	if x == 0 {
		return errLost // the call was lost
	}
	err := l.Store.Swap(ctx, key, value, old)
	if x == 1 {
		return errLost // the response was lost
	}
	return err
}

func testStore(t *testing.T) store.Store {
	t.Helper()
	srv := httptest.NewServer(platform.New().Handler())
	t.Cleanup(srv.Close)
	return store.NewConsul(srv.URL, "")
}

// Two operators read the same entry and both write it. The first write succeeds; the second
// gets a Conflict with the difference to the stored entry.
func TestRaceHasOneWinner(t *testing.T) {
	ctx := context.Background()
	c := &Catalogue{Store: testStore(t), Prefix: "rosedale"}
	index, err := c.Put(ctx, testEntry(t, 100), 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Put(ctx, testEntry(t, 200), index); err != nil {
		t.Fatal(err)
	}
	_, err = c.Put(ctx, testEntry(t, 300), index)
	var conflict *Conflict
	if !errors.As(err, &conflict) || conflict.Theirs.Limits.Connections != 200 {
		t.Fatalf("the second write: %v", err)
	}
	if !strings.Contains(conflict.Diff, "-   connections = 200\n+   connections = 300") {
		t.Fatalf("difference:\n%s", conflict.Diff)
	}
}

// The response or the call of a write is lost. Guards against reporting a write that took
// effect as failed, after which an operator would repeat it over a later edit.
func TestLostResponseIsResolved(t *testing.T) {
	ctx := context.Background()
	st := testStore(t)
	c := &Catalogue{Store: &responseLost{st}, Prefix: "rosedale", Pause: time.Millisecond}
	index, err := c.Put(ctx, testEntry(t, 100), 0)
	if err != nil || index == 0 {
		t.Fatalf("a write whose response was lost: index %d, error %v", index, err)
	}
	c.Store = &callLost{st}
	if _, err := c.Put(ctx, testEntry(t, 200), index); !errors.Is(err, ErrNotWritten) {
		t.Fatalf("a write whose call was lost: %v", err)
	}
}

// responseLost is a store whose writes take effect and whose responses to them are lost.
type responseLost struct{ store.Store }

func (s *responseLost) Swap(ctx context.Context, key string, value []byte, old uint64) error {
	_ = s.Store.Swap(ctx, key, value, old)
	return errLost
}

// callLost is a store that loses all writes.
type callLost struct{ store.Store }

func (s *callLost) Swap(context.Context, string, []byte, uint64) error { return errLost }

// edit is an operation in the checked histories: a read, or a write of value that
// replaces the version with value old.
type edit struct {
	read       bool
	old, value int
}

// result is the outcome reported to the operator.
type result struct {
	value   int // result of a read
	written bool
	unknown bool
}

// register models the entry as a compare-and-swap register. An edit with an unknown outcome
// may or may not have been written.
var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{0} },
	Step: func(state, input, output any) []any {
		cur, in, out := state.(int), input.(edit), output.(result)
		switch {
		case in.read && out.value == cur, !in.read && !out.written && !out.unknown:
			return []any{cur}
		case out.written && cur == in.old:
			return []any{in.value}
		case out.unknown && cur == in.old:
			return []any{cur, in.value}
		case out.unknown:
			return []any{cur}
		}
		return nil
	},
}

// Four operators concurrently edit one entry in a store that loses calls and responses. The
// reported outcomes have to be linearizable: they match some order of the edits in which
// each replaced the version that its operator had read.
func TestEditsAreLinearizable(t *testing.T) {
	for seed := range uint64(6) {
		ops := history(t, seed)
		if !porcupine.CheckOperations(register.ToModel(), ops) {
			t.Errorf("seed %d: the history of %d operations is not linearizable", seed, len(ops))
		}
	}
}

// history lets four operators edit one entry concurrently, 8 times each, and returns their
// operations. Value v is stored as v+1 connections, since an entry needs at least one.
func history(t *testing.T, seed uint64) []porcupine.Operation {
	ctx := context.Background()
	st := testStore(t)
	first := &Catalogue{Store: st, Prefix: "rosedale"}
	if _, err := first.Put(ctx, testEntry(t, 1), 0); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	var mu sync.Mutex
	var ops []porcupine.Operation
	add := func(client int, in edit, call int64, out result) {
		mu.Lock()
		defer mu.Unlock()
		ops = append(ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: time.Since(began).Nanoseconds()})
	}
	var wg sync.WaitGroup
	for client := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &Catalogue{Store: &lossy{Store: st, rnd: rand.New(rand.NewPCG(seed, uint64(client)))}, Prefix: "rosedale", Pause: time.Millisecond}
			for i := range 8 {
				call := time.Since(began).Nanoseconds()
				e, err := c.Get(ctx, "catalogue")
				if err != nil {
					t.Error(err)
					return
				}
				current := e.Service.Limits.Connections - 1
				add(client, edit{read: true}, call, result{value: current})
				value := client*1000 + i + 1
				call = time.Since(began).Nanoseconds()
				_, err = c.Put(ctx, testEntry(t, value+1), e.Index)
				var conflict *Conflict
				if err != nil && !errors.As(err, &conflict) && !errors.Is(err, ErrNotWritten) {
					t.Errorf("unexpected error of a write: %v", err)
				}
				uncertain := conflict != nil && conflict.Uncertain
				add(client, edit{old: current, value: value}, call, result{written: err == nil, unknown: uncertain})
			}
		}()
	}
	wg.Wait()
	return ops
}

// Checks the model itself: it has to reject a history in which an edit replaced a version
// that its operator had not read.
func TestLostUpdateIsNotLinearizable(t *testing.T) {
	ops := []porcupine.Operation{
		{ClientId: 0, Input: edit{old: 0, value: 1}, Call: 0, Output: result{written: true}, Return: 1},
		{ClientId: 1, Input: edit{old: 0, value: 2}, Call: 2, Output: result{written: true}, Return: 3},
	}
	if porcupine.CheckOperations(register.ToModel(), ops) {
		t.Fatal("a lost update passed the check")
	}
}
