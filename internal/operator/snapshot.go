package operator

import (
	"archive/zip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// SnapshotFlows bounds the number of flows of each balancer in a snapshot.
const SnapshotFlows = 5000

// snapshotFiles lists the files of each balancer in a snapshot and the paths that provide them.
var snapshotFiles = []struct{ name, path string }{
	{"status.json", "/status"},
	{"metrics.txt", "/metrics"},
	{"flows.json", fmt.Sprintf("/flows?limit=%d", SnapshotFlows)},
	{"goroutines.txt", "/debug/pprof/goroutine?debug=1"},
}

// Snapshot writes a zip archive of the state of every live balancer: a folder for
// each, fleet.json with the members according to the balancer at f.Admin, and errors.txt
// with the failed queries. It changes no balancer's state. It returns an error only
// if the archive cannot be written or the balancer at f.Admin does not respond.
func (f *Fleet) Snapshot(ctx context.Context, out io.Writer) error {
	vms, err := f.Status(ctx)
	if err != nil {
		return err
	}
	z := zip.NewWriter(out)
	fleet, err := json.MarshalIndent(vms, "", "  ")
	if err != nil {
		return errors.Wrap(err, "snapshot: encode fleet")
	}
	if err := addFile(z, "fleet.json", fleet); err != nil {
		return err
	}
	var failures []string
	for _, v := range vms {
		if !isLive(v.State) {
			continue
		}
		failure, err := f.snapshotVM(ctx, z, v)
		if err != nil {
			return err
		}
		if failure != "" {
			failures = append(failures, failure)
		}
	}
	if len(failures) > 0 {
		if err := addFile(z, "errors.txt", []byte(strings.Join(failures, "\n")+"\n")); err != nil {
			return err
		}
	}
	return errors.Wrap(z.Close(), "snapshot: close archive")
}

// snapshotVM adds one balancer's files. It stops at the first failed query and
// describes it in failure, so that a balancer that hangs costs one timeout only.
// err is an error of the archive.
func (f *Fleet) snapshotVM(ctx context.Context, z *zip.Writer, v VM) (failure string, err error) {
	for _, s := range snapshotFiles {
		b, err := f.fetch(ctx, v.Admin, s.path)
		if err != nil {
			return fmt.Sprintf("%s: %v", v.Name, err), nil
		}
		if err := addFile(z, v.Name+"/"+s.name, b); err != nil {
			return "", err
		}
	}
	return "", nil
}

func addFile(z *zip.Writer, name string, b []byte) error {
	w, err := z.Create(name)
	if err != nil {
		return errors.Wrapf(err, "snapshot: add %s", name)
	}
	_, err = w.Write(b)
	return errors.Wrapf(err, "snapshot: write %s", name)
}
