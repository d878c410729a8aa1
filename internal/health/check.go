package health

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Interval is the time between two checks of a target by the same balancer.
const Interval = time.Second

const (
	checkTimeout  = 800 * time.Millisecond
	maxAnswerSize = 4096 // bytes
)

// Answer is the JSON body that a target's health endpoint returns. Load is the used share
// of its capacity, 1 for all of it. An empty body with status 200 means healthy.
type Answer struct {
	Healthy bool    `json:"healthy"`
	Load    float64 `json:"load"`
}

// Checker requests health endpoints over HTTP.
type Checker struct {
	client *http.Client
}

// NewChecker returns a Checker whose checks fail after checkTimeout.
func NewChecker() *Checker {
	return &Checker{client: &http.Client{Timeout: checkTimeout}}
}

// Check requests the endpoint at url. Errors, also for a status other than 200, contain
// the URL.
func (c *Checker) Check(ctx context.Context, url string) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Answer{}, errors.Wrapf(err, "health: create request to %s", url)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return Answer{}, errors.Wrapf(err, "health: request %s", url)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Answer{}, errors.Errorf("health: %s answered %s", url, resp.Status)
	}
	a := Answer{Healthy: true}
	err = json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxAnswerSize)).Decode(&a)
	if err != nil && resp.ContentLength != 0 {
		return Answer{}, errors.Wrapf(err, "health: decode answer of %s", url)
	}
	return a, nil
}
