package caller

import (
	"net/netip"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// spec describes the load on one service address: a number of streams, or requests
// with a rate and a duration.
type spec struct {
	service string
	addr    netip.AddrPort
	count   int     // number of streams
	rate    float64 // requests per second
	work    int     // mean duration of a request at its target, in milliseconds
}

// parseSpecs parses a comma-separated list of specs: SERVICE=ADDRESS=COUNT if
// fields is 3, SERVICE=ADDRESS=RATE=WORK_MS if it is 4.
func parseSpecs(s string, fields int) ([]spec, error) {
	var out []spec
	for _, part := range strings.Split(s, ",") {
		if part == "" {
			continue
		}
		f := strings.Split(part, "=")
		if len(f) != fields {
			return nil, errors.Errorf("caller: %q does not have %d fields", part, fields)
		}
		a, err := netip.ParseAddrPort(f[1])
		if err != nil {
			return nil, errors.Wrap(err, "caller: service address")
		}
		sp := spec{service: f[0], addr: a}
		if fields == 3 {
			sp.count, err = strconv.Atoi(f[2])
		} else if sp.rate, err = strconv.ParseFloat(f[2], 64); err == nil {
			sp.work, err = strconv.Atoi(f[3])
		}
		if err != nil {
			return nil, errors.Wrapf(err, "caller: invalid load %q", part)
		}
		out = append(out, sp)
	}
	return out, nil
}
