package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that holds what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	startAt time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), startAt: time.Now()}, nil
}

// add writes a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  "+format+"\n", append([]any{time.Since(r.startAt).Seconds()}, args...)...)
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}
