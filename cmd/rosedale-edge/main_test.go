package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// -check validates a settings file and names the invalid field.
func TestCheck(t *testing.T) {
	good := `{"nodeName":"a","zone":"z","listen":{"datagramAddr":"127.0.0.1:1","readyAddr":"127.0.0.1:2","control":"127.0.0.1:3"},
"heartbeatIntervalMs":1200,"bounds":{"drainMs":3000,"graceS":6,"configApplyMs":3000,"flowMaxS":60},"platform":{"address":"127.0.0.1:4"}}`
	file := filepath.Join(t.TempDir(), "boot.json")
	for text, want := range map[string]string{
		good: "",
		strings.Replace(good, `"graceS":6`, `"graceS":0`, 1): "bounds.graceS",
	} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		err := run([]string{"-check", "-config", file})
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("check: %v, want %q", err, want)
		}
	}
	if err := run([]string{"-without", "help"}); err != nil {
		t.Errorf("list of features: %v", err)
	}
	if err := run([]string{"-check", "-config", file, "-without", "spil"}); err == nil || !strings.Contains(err.Error(), `"spil"`) {
		t.Errorf("a misspelt feature: %v", err)
	}
	if err := run([]string{"-config", filepath.Join(t.TempDir(), "none")}); err == nil {
		t.Error("a missing file was accepted")
	}
}
