package direct

import "flag"

// Random runs are reproducible by default; -rapid.seed and -rapid.checks on the command line
// override these values.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
