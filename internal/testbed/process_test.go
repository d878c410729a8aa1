package testbed

import (
	"os"
	"strings"
	"testing"
	"time"
)

// hangVariable has this test program hang when it is started as a process of a bed.
const hangVariable = "TESTBED_HANG"

func TestMain(m *testing.M) {
	if os.Getenv(hangVariable) != "" {
		hangForTheTest()
	}
	os.Exit(m.Run())
}

func hangForTheTest() { time.Sleep(time.Minute) }

// A scenario takes longer than planned, so that the limit for a process has passed when
// the test comes to wait for it. If it has ended, that is no failure.
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

// A process hangs once in a hundred runs. The test that waits for it must say where, as
// nobody can look at the process any more.
func TestHangingProcessTellsItsStacks(t *testing.T) {
	t.Setenv(hangVariable, "1")
	b := &Bed{Dir: t.TempDir()}
	p, err := b.start("hanging", os.Args[0])
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond) // until its runtime takes signals
	err = p.Wait(200 * time.Millisecond)
	if err == nil || !strings.Contains(err.Error(), "hangForTheTest") {
		t.Errorf("the error does not name the function that hangs: %v", err)
	}
}
