package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"rosedale.dev/rosedale/platform"
)

const (
	bigConfig     = 1400 // routes that one big_config adds
	smallMachine  = 104  // memoryMb of the small machines
	stormLength   = 50   // versions of a storm: 4 s at stormGap
	stormPause    = 300 * time.Millisecond
	storms        = 24
	memoryCheck   = 50 * time.Millisecond
	restartDelay  = 500 * time.Millisecond
	endsOfADay    = 3 // ends of a process that break the rule
	manyProcesses = 2 // on so many machines
)

// manyChanges writes about as many versions of a large desired state as operators write on a day.
// Processes that exceed the memory of their machine are killed and started again, as the platform
// does. It checks the rule on faults: processes must not end by themselves.
func manyChanges(r *rig) (bool, error) {
	r.memoryMB = smallMachine
	if err := r.addTargets("catalogue", 2); err != nil {
		return false, err
	}
	o := &operator{rig: r}
	o.set(routeTo(steadyRoute, "catalogue"))
	o.addIdle(idleRoutes)
	o.write()
	if err := r.startFleet(); err != nil {
		return false, err
	}
	for _, b := range r.balancers {
		r.every(memoryCheck, func() { b.limitMemory() })
	}
	o.addIdle(bigConfig)
	o.write()
	time.Sleep(stabilityWindow)
	r.note("desired state: %d routes, %d bytes", len(o.routes), len(r.store.Value(platform.CatalogueKey)))
	for i := range storms {
		if r.trouble {
			next := time.Now()
			for k := range stormLength {
				for j := range o.routes {
					o.routes[j].TimeoutMS = 2500 + k%2
				}
				o.write()
				next = next.Add(stormGap)
				time.Sleep(time.Until(next))
			}
		} else {
			time.Sleep(stormLength * stormGap)
		}
		x := r.probe(i%len(zones), uint64(i), steadyRoute)
		r.note("%d versions written; a request over %s: %s; memory %s", o.version, x.via, x, r.memory())
		time.Sleep(stormPause)
	}
	if !r.trouble {
		r.note("no storms were made")
	}
	affected := 0
	for _, b := range r.balancers {
		n := int(b.ended.Load())
		r.note("%s ended %d times by exceeding %d MB, most used %d MB", b.name, n, r.memoryMB, b.peakMB.Load())
		if n >= endsOfADay {
			affected++
		}
	}
	r.note("machines whose processes ended %d times or more: %d", endsOfADay, affected)
	return affected >= manyProcesses, nil
}

// memory describes the memory that the balancers use.
func (r *rig) memory() string {
	var out []string
	for _, b := range r.balancers {
		out = append(out, fmt.Sprintf("%d MB", b.residentMB()))
	}
	return strings.Join(out, ", ")
}

// residentMB returns the resident memory of the process, or 0 if it does not run.
func (b *balancer) residentMB() int64 {
	b.mu.Lock()
	pid := b.cmd.Process.Pid
	b.mu.Unlock()
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	_, rest, ok := strings.Cut(string(text), "VmRSS:")
	fields := strings.Fields(rest)
	if !ok || len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.ParseInt(fields[0], 10, 64) // 0 if it is not a number
	return kb / 1024
}

// limitMemory kills and restarts the process if it exceeds the memory of its machine.
func (b *balancer) limitMemory() {
	used := b.residentMB()
	b.peakMB.Store(max(b.peakMB.Load(), used))
	if used <= int64(b.rig.memoryMB) {
		return
	}
	b.ended.Add(1)
	b.rig.note("%s uses %d MB and is killed", b.name, used)
	b.signal(syscall.SIGKILL)
	b.mu.Lock()
	exited := b.exited
	b.mu.Unlock()
	<-exited
	time.Sleep(restartDelay)
	if err := b.startProcess(); err != nil {
		b.rig.note("%s does not start: %v", b.name, err)
	}
}
