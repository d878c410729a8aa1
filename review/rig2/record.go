package rig2

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the record of a play: what was sent, answered and run, with the seconds since its
// start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record's file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, start: time.Now()}, err
}

// Add writes a line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.4f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
