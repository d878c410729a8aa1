package direct

import "flag"

// The same runs each time; -rapid.seed and -rapid.checks on the command line
// change them.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "2000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
