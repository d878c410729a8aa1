package flow

import "flag"

// Makes property tests repeatable by default; the flags -rapid.seed and
// -rapid.checks override the values.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
