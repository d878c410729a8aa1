// Package architecture checks rules that span packages: which may import what,
// and that the operators' pages name every key and counter.
package architecture

import (
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/internal/router"
	"rosedale.dev/rosedale/internal/settings"
	"rosedale.dev/rosedale/internal/wire"
)

// pure packages decide without sockets, files, clocks and logs.
var pure = []string{"balance", "catalogue", "converge", "direct", "flow", "geneve", "member", "packet", "rendezvous", "replica", "revision", "router", "slowstart", "wire"}

var forbidden = map[string]bool{
	"net": true, "net/http": true, "os": true, "log": true, "log/slog": true,
	"go.uber.org/zap": true, "context": true, "io/ioutil": true,
}

// A decision that reads a clock or a socket cannot be replayed by the model
// checker.
func TestDecisionsArePure(t *testing.T) {
	for _, p := range pure {
		files, _ := filepath.Glob(filepath.Join("..", p, "*.go"))
		if len(files) == 0 {
			t.Errorf("package %s is gone", p)
		}
		for _, f := range files {
			if !strings.HasSuffix(f, "_test.go") {
				checkPure(t, f)
			}
		}
	}
}

func checkPure(t *testing.T, path string) {
	f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
	if err != nil {
		t.Fatal(err)
	}
	for _, i := range f.Imports {
		if p := strings.Trim(i.Path.Value, `"`); forbidden[p] {
			t.Errorf("%s imports %s", path, p)
		}
	}
	text := read(t, path)
	for _, call := range []string{"time.Now(", "time.Since(", "time.Sleep(", "go func"} {
		if strings.Contains(text, call) {
			t.Errorf("%s uses %s", path, call)
		}
	}
}

func read(t *testing.T, path string) string {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// platformNames are spelled by the users' platform. Only its folder and the
// stand-ins may know them, so that a change of the platform meets one folder.
var platformNames = []string{"kv-txn", "kv-watch", "kv-range", "kv-lease", "coldLeftMs", "heartbeatIntervalMs", "ROSEDALE_BOOT", "op/config", "servers/", "datagramAddr", "configApplyMs", "Endpoint-Id"}

func TestPlatformIsMetInOneFolder(t *testing.T) {
	_ = filepath.WalkDir("../..", func(path string, _ os.DirEntry, err error) error {
		rel := strings.TrimPrefix(path, "../../")
		known := strings.HasPrefix(rel, "platform/") || strings.HasPrefix(rel, "internal/standin/") || strings.HasPrefix(rel, "internal/architecture/")
		if err != nil || known || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		text := read(t, path)
		for _, n := range platformNames {
			if strings.Contains(text, n) {
				t.Errorf("%s names the platform's %s", rel, n)
			}
		}
		return nil
	})
}

// The platform's folder decodes and calls. It must not import what decides over
// I/O, nor start goroutines.
func TestPlatformDecidesNothing(t *testing.T) {
	files, _ := filepath.Glob("../../platform/*.go")
	for _, f := range files {
		if strings.HasSuffix(f, "_test.go") {
			continue
		}
		text := read(t, f)
		for _, bad := range []string{"internal/edge", "internal/peer", "go func", "time.Sleep("} {
			if strings.Contains(text, bad) {
				t.Errorf("%s has %q", f, bad)
			}
		}
	}
}

// Operators must find the meaning of every counter in the documentation.
func TestEveryCounterIsDocumented(t *testing.T) {
	page := read(t, "../../docs/operators/counters.md")
	for _, r := range router.Reasons() {
		if !strings.Contains(page, "`packets_"+r.String()+"`") {
			t.Errorf("packets_%s is not documented", r)
		}
	}
	for k := wire.Ping; int(k) < wire.Kinds; k++ {
		if !strings.Contains(page, "`link_sent_"+k.String()+"`") {
			t.Errorf("link_sent_%s is not documented", k)
		}
	}
	for _, line := range strings.Split(read(t, "../daemon/collector.go"), "\n") {
		_, rest, ok := strings.Cut(line, `("`)
		if !ok || !strings.Contains(line, "m.") {
			continue
		}
		name, _, _ := strings.Cut(rest, `"`)
		if !strings.HasSuffix(name, "_") && !strings.Contains(page, "`"+name+"`") {
			t.Errorf("%s is not documented", name)
		}
	}
}

// The pages for rosedale-edge have to name its counters, histograms and flags.
func TestEdgeIsDocumented(t *testing.T) {
	page := read(t, "../../docs/OPERATIONS.md")
	for _, r := range direct.Reasons() {
		if !strings.Contains(page, "`"+r.String()+"`") {
			t.Errorf("packets_%s is not documented", r)
		}
	}
	for _, f := range []string{"metrics.go", "times.go"} {
		for _, line := range strings.Split(read(t, "../edge/"+f), "\n") {
			_, rest, ok := strings.Cut(line, `("`)
			name, _, _ := strings.Cut(rest, `"`)
			if ok && !strings.HasSuffix(name, "_") && !strings.Contains(page, "`"+name+"`") {
				t.Errorf("%s is not documented", name)
			}
		}
	}
	page = read(t, "../../docs/operators/platform.md")
	for _, flag := range []string{"-config", "-check", "-log-level", "-without"} {
		if !strings.Contains(page, "`"+flag+"`") {
			t.Errorf("%s is not documented", flag)
		}
	}
	for _, m := range direct.Mechanisms() {
		if !strings.Contains(page, "`"+m.String()+"`") {
			t.Errorf("mechanism %s is not documented", m)
		}
	}
}

// Every key of the settings has to stand in the reference.
func TestEverySettingIsDocumented(t *testing.T) {
	page := read(t, "../../docs/operators/install.md")
	for _, k := range settingKeys(reflect.TypeOf(settings.Settings{}), "") {
		if !strings.Contains(page, "`"+k+"`") {
			t.Errorf("%s is not documented", k)
		}
	}
}

func settingKeys(t reflect.Type, prefix string) []string {
	var out []string
	for i := range t.NumField() {
		f := t.Field(i)
		key := prefix + f.Tag.Get("toml")
		if f.Type.Kind() == reflect.Struct && f.Type.PkgPath() != "net/netip" {
			out = append(out, settingKeys(f.Type, key+".")...)
			continue
		}
		out = append(out, key)
	}
	return out
}

// Files stay small enough to be read at one go.
func TestFilesStaySmall(t *testing.T) {
	const most = 320
	_ = filepath.WalkDir("../..", func(path string, d os.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".go") {
			if n := strings.Count(read(t, path), "\n"); n > most {
				t.Errorf("%s has %d lines", path, n)
			}
		}
		return nil
	})
}
