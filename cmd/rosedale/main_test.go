package main

import (
	"context"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"rosedale.dev/rosedale/internal/standin/platform"
)

func run(t *testing.T, url string, args ...string) int {
	t.Helper()
	return exitCode(root().ParseAndRun(context.Background(), append([]string{"-store", url}, args...)))
}

// Scripts depend on exit codes: each documented outcome has its own.
func TestExitCodes(t *testing.T) {
	srv := httptest.NewServer(platform.New().Handler())
	defer srv.Close()
	example := filepath.Join("..", "..", "examples", "kavango", "catalogue.toml")
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("name = \"x\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		want int
		args []string
	}{
		{exitUsage, nil},
		{exitUsage, []string{"catalogue"}},
		{exitUsage, []string{"catalogue", "get"}},
		{exitNotFound, []string{"catalogue", "get", "catalogue"}},
		{exitOK, []string{"catalogue", "check", example}},
		{exitInvalid, []string{"catalogue", "put", bad}},
		{exitOK, []string{"catalogue", "put", example}},
		{exitConflict, []string{"catalogue", "put", example}}, // the entry exists
		{exitConflict, []string{"catalogue", "put", "-index", "3", example}},
		{exitOK, []string{"catalogue", "diff", example}},
		{exitOK, []string{"-o", "json", "catalogue", "list"}},
		{exitUsage, []string{"-o", "xml", "catalogue", "list"}},
		{exitOK, []string{"catalogue", "edit", "-connections", "2500", "catalogue"}},
		{exitInvalid, []string{"catalogue", "edit", "-target-state", "127.10.1.1=gone", "catalogue"}},
		{exitOK, []string{"drain", "127.10.1.1"}},
		{exitOK, []string{"drain", "-undo", "127.10.1.1"}},
		{exitUsage, []string{"drain", "127.99.1.1"}},
		{exitFailure, []string{"-admin", "127.0.9.99:1", "status"}},
		{exitOK, []string{"catalogue", "delete", "catalogue"}},
		{exitNotFound, []string{"catalogue", "delete", "catalogue"}},
	} {
		if got := run(t, srv.URL, c.args...); got != c.want {
			t.Errorf("%v: exit code %d, want %d", c.args, got, c.want)
		}
	}
	srv.Close()
	if got := run(t, srv.URL, "catalogue", "list"); got != exitFailure {
		t.Errorf("without a store: exit code %d", got)
	}
}

func TestKeysAreNotReplaced(t *testing.T) {
	dir := t.TempDir()
	if got := run(t, "", "keys", "ca", "-dir", dir, "kavango"); got != exitOK {
		t.Fatal(got)
	}
	if got := run(t, "", "keys", "vm", "-dir", dir, "vault-a-1"); got != exitOK {
		t.Fatal(got)
	}
	if got := run(t, "", "keys", "ca", "-dir", dir, "kavango"); got == exitOK {
		t.Fatal("an existing authority was replaced")
	}
}
