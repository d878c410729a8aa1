package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const valid = `
name = "vault-a-1"
data_center = "vault-a"
[data]
listen = "127.10.0.1:6081"
[fabric]
address = "127.0.9.1:6081"
sources = ["127.0.9.0/24"]
[admin]
listen = "127.10.0.1:7001"
[catalogue]
folder = "examples/kavango"
`

func check(t *testing.T, text string) error {
	t.Helper()
	f := filepath.Join(t.TempDir(), "s.toml")
	if err := os.WriteFile(f, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Read(f)
	if err != nil {
		return err
	}
	return s.Check()
}

// An invalid setting yields an error that names its key.
func TestCheck(t *testing.T) {
	if err := check(t, valid); err != nil {
		t.Fatal(err)
	}
	for old, c := range map[string][2]string{
		`name = "vault-a-1"`:             {"", "name"},
		`data_center = "vault-a"`:        {"", "data_center"},
		`listen = "127.10.0.1:6081"`:     {`listen = "127.10.0.1:0"`, "data.listen"},
		`sources = ["127.0.9.0/24"]`:     {"", "fabric.sources"},
		`folder = "examples/kavango"`:    {"", "catalogue.folder"},
		"[catalogue]":                    {"[balance]\nramp = \"1h\"\n[catalogue]", "balance.ramp"},
		`address = "127.0.9.1:6081"`:     {"address = \"127.0.9.1:6081\"\ncolour = 1", "colour"},
		"[admin]":                        {"[control]\nlisten = \"127.10.0.1:7000\"\n[admin]", "keys"},
		"[fabric]":                       {"[flows]\nmax = 3\n[fabric]", "flows.max"},
		"data_center = \"vault-a\"\n":    {"data_center = \"vault-a\"\ngroup = [\"annex-b\"]\n", "group"},
		`[data]`:                         {"[log]\nlevel = \"loud\"\n[data]", "log.level"},
		"listen = \"127.10.0.1:6081\"\n": {"listen = \"127.10.0.1:6081\"\nworkers = -1\n", "data.workers"},
	} {
		err := check(t, strings.Replace(valid, old, c[0], 1))
		if err == nil || !strings.Contains(err.Error(), c[1]) {
			t.Errorf("%q: %v, want an error at %s", c[0], err, c[1])
		}
	}
}
