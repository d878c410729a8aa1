package testbed

import (
	"net/http"

	"github.com/pkg/errors"
)

// waitReadyz waits until /readyz of every running balancer answers 200.
func (b *Bed) waitReadyz() error {
	return waitFor(startTimeout, func() error {
		for _, x := range b.Balancers {
			if x.Process == nil || !x.Process.Running() {
				continue
			}
			resp, err := client.Get("http://" + x.Admin() + "/readyz")
			if err != nil {
				return errors.Wrapf(err, "testbed: %s", x.Name)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return errors.Errorf("testbed: %s is not ready", x.Name)
			}
		}
		return nil
	})
}
