package testbed

import (
	"os"
	"strings"
	"testing"
	"time"
)

// hangEnv is the environment variable that makes this test program hang when it is
// started as a process of a bed.
const hangEnv = "TESTBED_HANG"

func TestMain(m *testing.M) {
	if os.Getenv(hangEnv) != "" {
		hangForTheTest()
	}
	os.Exit(m.Run())
}

func hangForTheTest() { time.Sleep(time.Minute) }

// Guards against a false timeout: Wait is called with a limit that has passed, because a
// scenario took longer than planned, although the process has ended.
func TestLateWaitForAnEndedProcess(t *testing.T) {
	b := &Bed{Dir: t.TempDir()}
	p, err := b.start("done", "/bin/true")
	if err != nil {
		t.Fatal(err)
	}
	<-p.done
	for range 100 {
		if err := p.Wait(-time.Second); err != nil {
			t.Fatal(err)
		}
	}
}

// A process that hangs in one of a hundred runs cannot be inspected after the run. The
// error of Wait has to contain its stacks.
func TestHangingProcessTellsItsStacks(t *testing.T) {
	t.Setenv(hangEnv, "1")
	b := &Bed{Dir: t.TempDir()}
	p, err := b.start("hanging", os.Args[0])
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond) // until its runtime handles signals
	err = p.Wait(200 * time.Millisecond)
	if err == nil || !strings.Contains(err.Error(), "hangForTheTest") {
		t.Errorf("the error does not name the function that hangs: %v", err)
	}
}
