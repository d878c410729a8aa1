package revision

import "testing"

func TestOrder(t *testing.T) {
	for _, c := range []struct {
		a, b Revision
		want int
	}{
		{Revision{1, 5}, Revision{1, 5}, 0},
		{Revision{1, 4}, Revision{1, 5}, -1},
		{Revision{1, 500}, Revision{2, 3}, -1}, // the store was restored from an older copy
		{Revision{0, 9}, Revision{1, 1}, -1},
		{Revision{2, 1}, Revision{1, 9}, 1},
	} {
		if got := c.a.Compare(c.b); got != c.want {
			t.Errorf("%v compared with %v: %d, want %d", c.a, c.b, got, c.want)
		}
		if got := c.a.Before(c.b); got != (c.want < 0) {
			t.Errorf("%v before %v: %v", c.a, c.b, got)
		}
	}
}
