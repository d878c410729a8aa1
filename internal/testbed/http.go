package testbed

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	retryInterval = 50 * time.Millisecond // between two calls by waitFor
	httpTimeout   = 3 * time.Second       // for one request
)

var client = &http.Client{Timeout: httpTimeout}

// waitFor calls f until it succeeds or the limit passes, and returns the last error.
func waitFor(limit time.Duration, f func() error) error {
	end := time.Now().Add(limit)
	for {
		err := f()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(retryInterval)
	}
}

// getJSON decodes the answer to a GET request into a value, or discards it if that is nil.
func getJSON(url string, into any) error {
	resp, err := client.Get(url)
	if err != nil {
		return errors.Wrap(err, "testbed")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("testbed: %s: %s", url, resp.Status)
	}
	if into == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

// postJSON sends a value as the body of a POST request.
func postJSON(url string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	resp, err := client.Post(url, "application/json", bytes.NewReader(b))
	if err != nil {
		return errors.Wrap(err, "testbed")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("testbed: %s: %s", url, resp.Status)
	}
	return nil
}
