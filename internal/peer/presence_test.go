package peer

import (
	"strings"
	"testing"
)

// A data centre hands its callers to others only if it has lost most of its
// balancers and another one has not.
func TestOutnumbered(t *testing.T) {
	for _, c := range []struct {
		name string
		all  string // by data centre; capitals are alive
		want bool
	}{
		{"all are well", "AAA BB CC", false},
		{"one of three is gone", "AAa BB CC", false},
		{"two of three are gone", "Aaa BB CC", true},
		{"one of two is gone", "Aa BB CC", false},
		{"two of three are gone, also elsewhere", "Aaa Bbb Ccc", false},
		{"two of three are gone, and half of another", "Aaa Bb cc", true},
		{"it hears nobody", "Aaa bb cc", false},
		{"it is alone", "A", false},
		{"there is no other data centre", "Aaa", false},
	} {
		var all []Presence
		for _, r := range strings.ReplaceAll(c.all, " ", "") {
			s := string(r)
			all = append(all, Presence{DataCenter: strings.ToUpper(s), Alive: s == strings.ToUpper(s)})
		}
		if got := Outnumbered("A", all); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
