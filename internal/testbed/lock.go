package testbed

import (
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// lock waits until no other deployment runs on this machine and returns a
// function that releases the lock.
//
// Without it, two test runs at the same time would start their stand-ins at the
// same addresses: in both, daemons would exit at once and stores would refuse
// connections. The kernel releases the lock of a process that ends.
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
