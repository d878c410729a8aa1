// Package architecture tests rules that span packages: which package may import
// what, and that the operators' pages document every setting and counter.
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

// purePackages make decisions without access to sockets, files, clocks and logs.
var purePackages = []string{"admission", "balance", "catalogue", "converge", "direct", "flow", "geneve", "member", "packet", "readfail", "rendezvous", "replica", "revision", "router", "slowstart", "speed", "stepback", "subset", "wire"}

// forbiddenImports lists what pure packages must not import.
var forbiddenImports = map[string]bool{
	"net": true, "net/http": true, "os": true, "log": true, "log/slog": true,
	"go.uber.org/zap": true, "context": true, "io/ioutil": true,
}

// The model checker can replay only code that reads no clock and no socket.
func TestDecisionsArePure(t *testing.T) {
	for _, p := range purePackages {
		files, _ := filepath.Glob(filepath.Join("..", p, "*.go"))
		if len(files) == 0 {
			t.Errorf("package %s has no files", p)
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
		if p := strings.Trim(i.Path.Value, `"`); forbiddenImports[p] {
			t.Errorf("%s imports %s", path, p)
		}
	}
	text := readFile(t, path)
	for _, call := range []string{"time.Now(", "time.Since(", "time.Sleep(", "go func"} {
		if strings.Contains(text, call) {
			t.Errorf("%s uses %s", path, call)
		}
	}
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// platformNames lists names that the users' platform defines. Only the folder
// platform and the stand-ins may contain them, so that a change of the platform
// affects only these.
var platformNames = []string{"kv-txn", "kv-watch", "kv-range", "kv-lease", "coldLeftMs", "heartbeatIntervalMs", "ROSEDALE_BOOT", "op/config", "servers/", "datagramAddr", "configApplyMs", "Endpoint-Id"}

func TestPlatformIsMetInOneFolder(t *testing.T) {
	_ = filepath.WalkDir("../..", func(path string, _ os.DirEntry, err error) error {
		rel := strings.TrimPrefix(path, "../../")
		allowed := strings.HasPrefix(rel, "platform/") || strings.HasPrefix(rel, "internal/standin/") || strings.HasPrefix(rel, "internal/architecture/")
		if err != nil || allowed || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		text := readFile(t, path)
		for _, n := range platformNames {
			if strings.Contains(text, n) {
				t.Errorf("%s contains the platform's name %s", rel, n)
			}
		}
		return nil
	})
}

// The folder platform only decodes and makes calls. It must not import the packages
// that decide when to make them, sleep, or start goroutines.
func TestPlatformDecidesNothing(t *testing.T) {
	files, _ := filepath.Glob("../../platform/*.go")
	for _, f := range files {
		if strings.HasSuffix(f, "_test.go") {
			continue
		}
		text := readFile(t, f)
		for _, forbidden := range []string{"internal/edge", "internal/peer", "go func", "time.Sleep("} {
			if strings.Contains(text, forbidden) {
				t.Errorf("%s contains %q", f, forbidden)
			}
		}
	}
}

// Every counter of rosedaled has to be in the operators' list of counters.
func TestEveryCounterIsDocumented(t *testing.T) {
	page := readFile(t, "../../docs/operators/counters.md")
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
	for _, line := range strings.Split(readFile(t, "../daemon/collector.go"), "\n") {
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

// The operators' pages for rosedale-edge have to name its counters, histograms,
// flags and feature switches.
func TestEdgeIsDocumented(t *testing.T) {
	page := readFile(t, "../../docs/OPERATIONS.md")
	for _, r := range direct.Reasons() {
		if !strings.Contains(page, "`"+r.String()+"`") {
			t.Errorf("packets_%s is not documented", r)
		}
	}
	for _, f := range []string{"metrics.go", "times.go"} {
		for _, line := range strings.Split(readFile(t, "../edge/"+f), "\n") {
			_, rest, ok := strings.Cut(line, `("`)
			name, _, _ := strings.Cut(rest, `"`)
			if ok && !strings.HasSuffix(name, "_") && !strings.Contains(page, "`"+name+"`") {
				t.Errorf("%s is not documented", name)
			}
		}
	}
	page = readFile(t, "../../docs/operators/platform.md")
	for _, flag := range []string{"-config", "-check", "-log-level", "-without"} {
		if !strings.Contains(page, "`"+flag+"`") {
			t.Errorf("%s is not documented", flag)
		}
	}
	for _, m := range direct.Mechanisms() {
		if !strings.Contains(page, "`"+m.String()+"`") {
			t.Errorf("feature switch %s is not documented", m)
		}
	}
}

// Every key of the settings file has to be in the operators' reference.
func TestEverySettingIsDocumented(t *testing.T) {
	page := readFile(t, "../../docs/operators/install.md")
	for _, k := range settingKeys(reflect.TypeOf(settings.Settings{}), "") {
		if !strings.Contains(page, "`"+k+"`") {
			t.Errorf("%s is not documented", k)
		}
	}
}

// settingKeys returns the TOML keys of a settings type, with dots between the levels.
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

// A file of more than maxLines lines is too long to be read without a break.
func TestFilesStaySmall(t *testing.T) {
	const maxLines = 320
	_ = filepath.WalkDir("../..", func(path string, d os.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".go") {
			if n := strings.Count(readFile(t, path), "\n"); n > maxLines {
				t.Errorf("%s has %d lines", path, n)
			}
		}
		return nil
	})
}
