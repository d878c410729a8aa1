package peer

import (
	"strings"
	"testing"
)

// A data centre passes its callers to others only if it has lost more than half of
// its balancers and another one has not.
func TestOutnumbered(t *testing.T) {
	for _, c := range []struct {
		name string
		all  string // one letter per balancer, by data centre; upper case is alive
		want bool
	}{
		{"all are alive", "AAA BB CC", false},
		{"one of three is lost", "AAa BB CC", false},
		{"two of three are lost", "Aaa BB CC", true},
		{"one of two is lost", "Aa BB CC", false},
		{"two of three are lost in every data centre", "Aaa Bbb Ccc", false},
		{"two of three are lost, and half of another data centre", "Aaa Bb cc", true},
		{"no heartbeats from any other balancer", "Aaa bb cc", false},
		{"single balancer", "A", false},
		{"no other data centre", "Aaa", false},
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
