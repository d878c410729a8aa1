package direct

import (
	"strings"
	"testing"
)

// Feature switches are parsed by name, and a misspelt name is an error.
func TestParseMechanisms(t *testing.T) {
	s, err := ParseMechanisms("spill,idle-resets")
	if err != nil || !s.Has(Spill) || !s.Has(IdleResets) || s.Has(Alarms) || s.String() != "idle-resets,spill" {
		t.Errorf("%v, %v", s, err)
	}
	if s, err := ParseMechanisms(""); err != nil || s != 0 {
		t.Errorf("nothing: %v, %v", s, err)
	}
	if _, err := ParseMechanisms("spil"); err == nil || !strings.Contains(err.Error(), `"spil"`) {
		t.Errorf("error %v, want one that contains the name", err)
	}
	for _, m := range Mechanisms() {
		if m.String() == "" || m.Describe() == "" {
			t.Errorf("mechanism %d has no name or description", m)
		}
	}
}
