package testbed

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// lock waits until no other deployment runs on this machine, and returns how to
// let the next one begin.
//
// Failure: two runs of the tests at once start their stand-ins at the same
// addresses. It shows as daemons that end at once and stores that refuse, in
// both. The kernel frees the lock of a process that dies.
func lock() (release func(), err error) {
	path := filepath.Join(os.TempDir(), "rosedale-testbed.lock")
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "testbed: lock")
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX); err != nil {
		_ = f.Close()
		return nil, errors.Wrap(err, "testbed: lock")
	}
	return func() { _ = f.Close() }, nil
}
