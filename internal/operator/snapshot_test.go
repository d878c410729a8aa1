package operator

import (
	"archive/zip"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// One balancer does not respond: the snapshot contains the others, and errors.txt
// describes the failure.
func TestSnapshotWithUnreachableBalancer(t *testing.T) {
	var addr string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/status" {
			_, _ = fmt.Fprintf(w, `{"name":"vault-a-1","members":[
				{"name":"vault-a-1","state":"alive","admin":%q},
				{"name":"vault-a-2","state":"alive","admin":"127.0.0.1:1"},
				{"name":"vault-a-3","state":"dead","admin":"127.0.0.1:2"}]}`, addr)
			return
		}
		_, _ = fmt.Fprint(w, "answer to ", r.URL.Path)
	}))
	defer s.Close()
	addr = strings.TrimPrefix(s.URL, "http://")
	f := &Fleet{Admin: addr}
	var b bytes.Buffer
	if err := f.Snapshot(context.Background(), &b); err != nil {
		t.Fatal(err)
	}
	z, err := zip.NewReader(bytes.NewReader(b.Bytes()), int64(b.Len()))
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, f := range z.File {
		names = append(names, f.Name)
	}
	want := "fleet.json vault-a-1/status.json vault-a-1/metrics.txt vault-a-1/flows.json vault-a-1/goroutines.txt errors.txt"
	if got := strings.Join(names, " "); got != want {
		t.Fatalf("the archive contains %s", got)
	}
}
