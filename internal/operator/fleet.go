package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"rosedale.dev/rosedale/internal/control"
)

const (
	queryTimeout = 3 * time.Second
	pollInterval = 100 * time.Millisecond
	// maxConcurrentQueries bounds the balancers that are queried at the same time.
	maxConcurrentQueries = 32
	// maxBodySize bounds a balancer's response body, in bytes.
	maxBodySize = 64 << 20
)

// Fleet queries balancers through their admin endpoints.
type Fleet struct {
	Admin  string // admin address of any balancer
	client http.Client
}

// Get queries one balancer and decodes its JSON response.
func (f *Fleet) Get(ctx context.Context, admin, path string, q url.Values, into any) error {
	if len(q) > 0 {
		path += "?" + q.Encode()
	}
	b, err := f.fetch(ctx, admin, path)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(b, into), "query balancer %s for %s", admin, path)
}

// fetch returns the body of a balancer's response.
func (f *Fleet) fetch(ctx context.Context, admin, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+path, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "query balancer %s", admin)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "query balancer %s", admin)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("query balancer %s for %s: %s", admin, path, resp.Status)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxBodySize))
	return b, errors.Wrapf(err, "query balancer %s for %s", admin, path)
}

// VM is a balancer with its status, or the error of the query.
type VM struct {
	Name   string          `json:"name"`
	Admin  string          `json:"admin"`
	State  string          `json:"state"` // according to the balancer at Fleet.Admin
	Status *control.Status `json:"status,omitempty"`
	Error  string          `json:"error,omitempty"`
}

// Status queries all live members that the balancer at f.Admin knows, and returns all
// members that it knows, sorted by name.
func (f *Fleet) Status(ctx context.Context) ([]VM, error) {
	var first control.Status
	if err := f.Get(ctx, f.Admin, "/status", nil, &first); err != nil {
		return nil, err
	}
	vms := make([]VM, len(first.Members))
	sem := make(chan struct{}, maxConcurrentQueries)
	var wg sync.WaitGroup
	for i, m := range first.Members {
		vms[i] = VM{Name: m.Name, Admin: m.Admin, State: m.State}
		if !isLive(m.State) {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			sem <- struct{}{}
			defer func() { <-sem }()
			var s control.Status
			if err := f.Get(ctx, m.Admin, "/status", nil, &s); err != nil {
				vms[i].Error = err.Error()
				return
			}
			vms[i].Status = &s
		}()
	}
	wg.Wait()
	sort.Slice(vms, func(i, j int) bool { return vms[i].Name < vms[j].Name })
	return vms, nil
}

func isLive(state string) bool {
	return state == "alive" || state == "suspect" || state == "leaving" || state == "starting"
}

// Wait waits until every live balancer has at least version index of the entry
// with this name in force. If ctx ends first, the error lists the balancers that do not.
func (f *Fleet) Wait(ctx context.Context, name string, index uint64) error {
	for {
		vms, err := f.Status(ctx)
		var behind []string
		for _, v := range vms {
			if !isLive(v.State) {
				continue
			}
			if v.Status == nil || v.Status.Catalogue.Versions[name] < index {
				behind = append(behind, v.Name)
			}
		}
		if err == nil && len(behind) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			if err != nil {
				return err
			}
			return errors.Errorf("not in force at %v", behind)
		case <-time.After(pollInterval):
		}
	}
}
