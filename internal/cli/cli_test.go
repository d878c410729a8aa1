package cli

import (
	"testing"

	"github.com/pkg/errors"
)

func TestExitCodes(t *testing.T) {
	if got := exitCode(errors.Wrap(ErrUsage, "-x is needed")); got != ExitUsage {
		t.Errorf("exit code %d of a usage error", got)
	}
	if got := exitCode(errors.New("no address")); got != ExitFailure {
		t.Errorf("exit code %d of a failure", got)
	}
}
