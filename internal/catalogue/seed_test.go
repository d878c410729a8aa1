package catalogue

import "flag"

// A fixed seed makes the property tests deterministic; -rapid.seed and -rapid.checks on the
// command line override it.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
