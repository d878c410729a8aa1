package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"rosedale.dev/rosedale/internal/direct"
	"rosedale.dev/rosedale/internal/edge"
)

// fakeEdge starts an admin endpoint that reports target a1 in the given state, and returns
// its address.
func fakeEdge(t *testing.T, vm, state string) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc(edge.StatusPath, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(edge.Status{VM: vm, Targets: []direct.TargetInfo{{ID: "a1", State: state}, {ID: "a2", State: "ready"}}})
	})
	mux.HandleFunc(edge.ExplainPath, func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(direct.Explanation{Route: r.URL.Query().Get("address"), Outcome: "forwarded"})
	})
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

func TestEdgeCommands(t *testing.T) {
	admins := fakeEdge(t, "one", "ready") + "," + fakeEdge(t, "two", "dead")
	for _, c := range []struct {
		want int
		args string
	}{
		{exitUsage, "edge"},
		{exitUsage, "edge status"},
		{exitOK, "edge status -admins " + admins},
		{exitOK, "edge targets -admins " + admins},
		{exitOK, "edge targets -differ -admins " + admins},
		{exitUsage, "edge explain -admins " + admins + " -caller 1.2.3.4:5"},
		{exitUsage, "edge explain -admins " + admins + " -caller x 1.2.3.4:5"},
		{exitOK, "edge explain -admins " + admins + " -caller 1.2.3.4:5 198.18.0.1:443"},
		{exitOK, "edge status -admins 127.0.0.1:1"}, // failed queries are shown in the table
	} {
		if got := exitCode(root().ParseAndRun(context.Background(), strings.Fields(c.args))); got != c.want {
			t.Errorf("%s: exit code %d, want %d", c.args, got, c.want)
		}
	}
}
