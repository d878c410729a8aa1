package experiment

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"rosedale.dev/rosedale/platform"
)

// Losses are attributed to the disturbance that began last, and to a fault rather than to
// planned work at the same time. Losses long after the last disturbance have no cause.
func TestLosses(t *testing.T) {
	file := filepath.Join(t.TempDir(), "day.json")
	text := `{"G":0.9,"all":{"n":40,"late":6,"refused":1,"failed":4},
"windows":[{"name":"0","n":10},{"name":"4","n":10,"late":3,"failed":2},{"name":"8","n":10,"late":3,"failed":2,"refused":1},{"name":"30","n":10,"late":1}],
"events":[{"at_s":1,"to_s":9,"kind":"roll_term","planned":true},{"at_s":3,"to_s":4.5,"kind":"srv_crash"},{"at_s":9,"to_s":9.5,"kind":"herd_kill"}]}`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	r, err := platform.ReadReport(file)
	if err != nil || r.Failed != 5 || r.Late != 6 || r.Windows[2].From != 8*time.Second {
		t.Fatalf("%+v, %v", r, err)
	}
	got := losses(r)
	if got["srv_crash"] != (loss{2, 3}) || got["herd_kill"] != (loss{3, 3}) || got[noDisturbance] != (loss{0, 1}) || len(got) != 3 {
		t.Errorf("losses %+v", got)
	}
}
