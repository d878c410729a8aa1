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
	// readersPerDataCenter is the number of members that watch the store for their data
	// centre.
	readersPerDataCenter = 2
	minBackoff           = 500 * time.Millisecond
	maxBackoff           = 3 * time.Second
	folderPollInterval   = 500 * time.Millisecond
)

// reader is the running watch of the store.
type reader struct {
	stop context.CancelFunc
}

// startFolderWatch starts to watch the catalogue folder, if one is set.
func (l *Loop) startFolderWatch(ctx context.Context) {
	if l.config.Catalogue.Folder != "" {
		go l.watchFolder(ctx)
	}
}

// updateReader starts or stops the watch of the store when this member becomes or
// ceases to be a reader of its data centre. A member that reaches no other one is the
// only serving one in its list and therefore a reader.
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
			go l.watchShard(rctx, shard)
		}
		go l.refreshVMs(rctx)
	case !want && l.reader != nil:
		l.reader.stop()
		l.reader = nil
	}
}

func (l *Loop) isReader() bool {
	switch {
	case l.leaving:
		return false
	case !l.catalogueComplete:
		return true // a starting member reads the store once for itself
	}
	return l.readers()[l.config.Name]
}

// readers returns the names of the members that read the store according to this
// member's list: the first serving ones of each data centre in rendezvous order. This
// member itself counts as serving.
func (l *Loop) readers() map[string]bool {
	names, hashes := map[string][]string{}, map[string][]uint64{} // by data centre
	for _, r := range l.group.Members() {
		if r.Name != l.config.Name && !member.Serving(r) {
			continue
		}
		names[r.DataCenter] = append(names[r.DataCenter], r.Name)
		hashes[r.DataCenter] = append(hashes[r.DataCenter], rendezvous.Seed(r.Name))
	}
	out := map[string]bool{}
	key := rendezvous.Seed("catalogue reader")
	for dc, list := range hashes {
		for _, i := range rendezvous.Order(nil, key, list, readersPerDataCenter) {
			out[names[dc][i]] = true
		}
	}
	return out
}

// watchShard reads a shard of the store whenever it changes, until ctx ends. While the
// store is unreachable the last accepted versions stay in force, and attempts are
// repeated with a growing, randomized pause.
func (l *Loop) watchShard(ctx context.Context, shard int) {
	prefix := store.ShardPrefix(l.config.Store.Prefix, shard)
	part := func(name string) bool { return store.ShardOf(name) == shard }
	after, backoff := uint64(0), minBackoff
	for ctx.Err() == nil {
		l.Count.StoreReads.Add(1)
		start := time.Now()
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
			// The store was restored from a backup: list it from the start.
			// Versions below those in force are not accepted, whatever the
			// index of the store.
			after = 0
		} else {
			after = list.Index
		}
		if changed {
			vs := store.Versions(list, l.config.Store.Prefix)
			l.post(ctx, func(time.Duration) { l.applyListing(ctx, list.Index, vs, part, shard) })
		}
		if time.Since(start) < 20*time.Millisecond {
			sleep(ctx, 20*time.Millisecond) // with frequent changes, return several of them per read
		}
	}
}

// applyListing accepts the versions of a complete listing of a shard.
func (l *Loop) applyListing(ctx context.Context, index uint64, vs []catalogue.Version, part func(string) bool, shard int) {
	l.listedShards[shard] = true
	l.catalogueComplete = l.catalogueComplete || len(l.listedShards) == store.Shards
	l.accept(ctx, l.catalogueState.VersionsFromListing(index, vs, part), "")
}

// jitter returns a random duration between half of d and one and a half of it.
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

// watchFolder reads the catalogue of a single VM from a folder instead of the store. A
// file's modification time in nanoseconds serves as its index.
func (l *Loop) watchFolder(ctx context.Context) {
	for ctx.Err() == nil {
		vs, high, err := readFolder(l.config.Catalogue.Folder)
		if err != nil {
			l.log.Warn("cannot read the catalogue folder", zap.Error(err))
		} else {
			l.post(ctx, func(time.Duration) {
				l.catalogueComplete = true
				l.accept(ctx, l.catalogueState.VersionsFromListing(high, vs, func(string) bool { return true }), "")
			})
		}
		sleep(ctx, folderPollInterval)
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
