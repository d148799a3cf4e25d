package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record holds what was sent, answered and run, and writes it to a file.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
	runs map[string]*execution
}

// execution is what endpoints did with a request.
type execution struct {
	count      int
	finished   bool
	dropped    bool
	at         time.Time
	finishedAt time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, out: bufio.NewWriter(file), runs: make(map[string]*execution)}, nil
}

// note writes a line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *record) line(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f  ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.out, format, args...)
	_, _ = r.out.WriteString("\n")
}

func (r *record) ran(id, endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.runs[id]
	if known == nil {
		known = &execution{at: time.Now()}
		r.runs[id] = known
	}
	known.count++
	r.line("run %s at %s", id, endpoint)
}

func (r *record) finished(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id].finished, r.runs[id].finishedAt = true, time.Now()
}

func (r *record) dropped(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id].dropped = true
	r.line("run %s ended because its connection was closed", id)
}

// runOf returns what endpoints did with a request.
func (r *record) runOf(id string) execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known := r.runs[id]; known != nil {
		return *known
	}
	return execution{}
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
