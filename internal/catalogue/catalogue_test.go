package catalogue

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const valid = `
name = "catalogue"
owner = "kavango"
number = 101
broken_flow_weight = 0.9
[limits]
slots = 2
connections = 2000
[[address]]
address = "203.0.113.10:80"
class = "stream"
[[target]]
address = "127.10.1.1"
data_center = "vault-a"
state = "active"
`

func TestExamplesAreValid(t *testing.T) {
	for _, d := range []string{"kavango", "saryarka"} {
		files, _ := filepath.Glob(filepath.Join("../../examples", d, "*.toml"))
		if len(files) != 2 {
			t.Fatalf("%s has %d entries", d, len(files))
		}
		for _, f := range files {
			b, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := Parse(b); err != nil {
				t.Error(err)
			}
		}
	}
}

// An invalid entry yields an error with the field and the reason.
func TestErrorsNameTheField(t *testing.T) {
	for _, c := range []struct{ old, new, field string }{
		{`name = "catalogue"`, `name = "Cat alogue"`, "name"},
		{`owner = "kavango"`, `owner = ""`, "owner"},
		{`number = 101`, `number = 16777216`, "number"},
		{`= 0.9`, `= 1.1`, "broken_flow_weight"},
		{`slots = 2`, `slots = 0`, "limits.slots"},
		{`connections = 2000`, `connections = -1`, "limits.connections"},
		{`:80"`, `:0"`, "address[0]"},
		{`class = "stream"`, ``, "address[0].class"},
		{`class = "stream"`, "class = \"stream\"\nadmission_deadline = \"2h\"", "address[0].admission_deadline"},
		{`data_center = "vault-a"`, `data_center = ""`, "target[0].data_center"},
		{`state = "active"`, `state = "gone"`, "target[0].state"},
	} {
		_, err := Parse([]byte(strings.Replace(valid, c.old, c.new, 1)))
		var fe *FieldError
		if !errors.As(err, &fe) || fe.Field != c.field || fe.Reason == "" {
			t.Errorf("%q: %v, want an error at %s", c.new, err, c.field)
		}
	}
	for _, extra := range []string{"\nwhat = 1", "\n[[target]]\nadress = \"127.0.0.1\""} {
		if _, err := Parse([]byte(valid + extra)); err == nil {
			t.Errorf("%q was accepted", extra)
		}
	}
}

func entry(name, number, address string) []byte {
	r := strings.NewReplacer(`"catalogue"`, `"`+name+`"`, "101", number, "203.0.113.10:80", address)
	return []byte(r.Replace(valid))
}

// Versions arrive in any order, some more than once, as after a rewind of the store.
// The same entries must be in force in the end, and no entry may revert to an older
// version in between.
func TestVersionsConvergeInAnyOrder(t *testing.T) {
	pool := []Version{
		{Name: "a", Index: 3, Created: 3, Text: entry("a", "1", "203.0.113.1:80")},
		{Name: "a", Index: 9, Created: 3, Text: entry("a", "1", "203.0.113.2:80")},
		{Name: "b", Index: 5, Created: 5, Text: entry("b", "2", "203.0.113.2:80")},
		{Name: "b", Index: 11, Created: 5, Text: []byte("garbage = [")},
		{Name: "c", Index: 4, Created: 4, Text: entry("c", "1", "203.0.113.3:80")},
		{Name: "c", Index: 8, Created: 4},
		{Name: "d", Index: 6, Created: 6, Text: entry("d", "4", "203.0.113.4:80")},
	}
	rapid.Check(t, func(t *rapid.T) {
		perm := rapid.Permutation(pool).Draw(t, "order")
		duplicates := rapid.SliceOf(rapid.SampledFrom(pool)).Draw(t, "duplicates")
		v := NewVersions()
		high := map[string]uint64{}
		for _, x := range append(perm, duplicates...) {
			_, _ = v.Apply(x)
			now, _ := v.Get(x.Name)
			if now.Index < high[x.Name] {
				t.Fatalf("%s reverted to version %d", x.Name, now.Index)
			}
			high[x.Name] = now.Index
		}
		ref := NewVersions()
		for _, x := range pool {
			_, _ = ref.Apply(x)
		}
		if v.Digest() != ref.Digest() || v.High() != 11 {
			t.Fatal("the digests differ")
		}
		var names []string
		ss, held := v.Services()
		for _, s := range ss {
			names = append(names, s.Name)
		}
		// b is never in force: its valid version either arrives after the newer
		// invalid one, or is held back because a, which is older, has its address.
		if got := strings.Join(names, " "); got != "a d" {
			t.Fatalf("in force: %s, held back: %v", got, held)
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"name":"a","number":1}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Parse(b)
		if err != nil {
			return
		}
		text, err := Encode(s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(text); err != nil {
			t.Fatalf("the encoded entry does not parse: %v\n%s", err, text)
		}
	})
}
