package control

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"

	"go.uber.org/zap"

	"rosedale.dev/rosedale/internal/catalogue"
	"rosedale.dev/rosedale/internal/member"
	"rosedale.dev/rosedale/internal/rendezvous"
	"rosedale.dev/rosedale/internal/store"
)

const (
	// readersPerDataCenter watch the store for all members there.
	readersPerDataCenter = 2
	minBackoff           = 500 * time.Millisecond
	maxBackoff           = 3 * time.Second
	filePoll             = 500 * time.Millisecond
)

// reader is the running watch of a member that reads the store.
type reader struct {
	stop context.CancelFunc
}

// startCatalogue begins to follow the folder of a single VM.
func (l *Loop) startCatalogue(ctx context.Context) {
	if l.set.Catalogue.Folder != "" {
		go l.followFolder(ctx)
	}
}

// updateReader starts or stops the watch when this member becomes or ceases
// to be a reader of its data centre. A member that reaches nobody is the only
// one in its list and thus reads itself.
func (l *Loop) updateReader(ctx context.Context) {
	if l.store == nil {
		return
	}
	want := l.isReader()
	switch {
	case want && l.reader == nil:
		rctx, stop := context.WithCancel(ctx)
		l.reader = &reader{stop}
		for shard := range store.Shards {
			go l.watch(rctx, shard)
		}
		go l.followVMs(rctx)
	case !want && l.reader != nil:
		l.reader.stop()
		l.reader = nil
	}
}

func (l *Loop) isReader() bool {
	switch {
	case l.leaving:
		return false
	case !l.sync:
		return true // a starting member reads once for itself
	}
	return l.readers()[l.set.Name]
}

// readers returns the names of the members that read the store, as far as this
// member sees: the first serving ones of each data centre in rendezvous order.
func (l *Loop) readers() map[string]bool {
	names, seeds := map[string][]string{}, map[string][]uint64{}
	for _, r := range l.group.Members() {
		if r.Name != l.set.Name && !member.Serving(r) {
			continue
		}
		names[r.DataCenter] = append(names[r.DataCenter], r.Name)
		seeds[r.DataCenter] = append(seeds[r.DataCenter], rendezvous.Seed(r.Name))
	}
	out := map[string]bool{}
	key := rendezvous.Seed("catalogue reader")
	for dc, list := range seeds {
		for _, i := range rendezvous.Order(nil, key, list, readersPerDataCenter) {
			out[names[dc][i]] = true
		}
	}
	return out
}

// watch follows a shard of the store until ctx ends. While the store is down the last
// accepted versions stay in force, and attempts are spread out.
func (l *Loop) watch(ctx context.Context, shard int) {
	prefix := store.ShardPrefix(l.set.Store.Prefix, shard)
	part := func(name string) bool { return store.ShardOf(name) == shard }
	after, backoff := uint64(0), minBackoff
	for ctx.Err() == nil {
		l.Count.StoreReads.Add(1)
		began := time.Now()
		list, err := l.store.List(ctx, prefix, after)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			l.Count.StoreErrors.Add(1)
			l.log.Warn("store unreachable", zap.Error(err))
			sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		changed := list.Index != after
		if list.Index < after {
			// The store was restored: begin again. Versions below those in
			// force are not accepted, whatever its index says.
			after = 0
		} else {
			after = list.Index
		}
		if changed {
			vs := store.Versions(list, l.set.Store.Prefix)
			l.post(ctx, func(time.Duration) { l.listed(ctx, list.Index, vs, part, shard) })
		}
		if time.Since(began) < 20*time.Millisecond {
			sleep(ctx, 20*time.Millisecond) // a busy prefix: a few changes per read
		}
	}
}

func (l *Loop) listed(ctx context.Context, index uint64, vs []catalogue.Version, part func(string) bool, shard int) {
	l.shards[shard] = true
	l.sync = l.sync || len(l.shards) == store.Shards
	l.accept(ctx, l.cat.VersionsFromListing(index, vs, part), "")
}

func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// followFolder takes the place of the store for a single VM: a file's
// modification time in nanoseconds serves as its index.
func (l *Loop) followFolder(ctx context.Context) {
	for ctx.Err() == nil {
		vs, high, err := readFolder(l.set.Catalogue.Folder)
		if err != nil {
			l.log.Warn("catalogue folder", zap.Error(err))
		} else {
			l.post(ctx, func(time.Duration) {
				l.sync = true
				l.accept(ctx, l.cat.VersionsFromListing(high, vs, func(string) bool { return true }), "")
			})
		}
		sleep(ctx, filePoll)
	}
}

func readFolder(dir string) ([]catalogue.Version, uint64, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil {
		return nil, 0, err
	}
	var vs []catalogue.Version
	high := uint64(1)
	if st, err := os.Stat(dir); err == nil {
		high = uint64(st.ModTime().UnixNano())
	}
	for _, f := range files {
		st, err := os.Stat(f)
		if err != nil {
			return nil, 0, err
		}
		b, err := os.ReadFile(f)
		if err != nil {
			return nil, 0, err
		}
		index := uint64(st.ModTime().UnixNano())
		high = max(high, index)
		vs = append(vs, catalogue.Version{Name: strings.TrimSuffix(filepath.Base(f), ".toml"), Index: index, Text: b})
	}
	return vs, high, nil
}
