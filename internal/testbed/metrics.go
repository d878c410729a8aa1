package testbed

import (
	"bufio"
	"io"
	"strconv"
	"strings"
)

// parseMetrics reads the samples without labels from Prometheus text. Names are
// returned without the prefix "rosedale_".
func parseMetrics(r io.Reader) (map[string]float64, error) {
	out := map[string]float64{}
	s := bufio.NewScanner(r)
	for s.Scan() {
		f := strings.Fields(s.Text())
		if len(f) != 2 || strings.HasPrefix(f[0], "#") {
			continue
		}
		if v, err := strconv.ParseFloat(f[1], 64); err == nil {
			out[strings.TrimPrefix(f[0], "rosedale_")] = v
		}
	}
	return out, s.Err()
}
