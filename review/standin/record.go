package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt, each line with the seconds since its start.
type record struct {
	mutex   sync.Mutex
	started time.Time
	file    *os.File
	out     *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// seconds returns the time since the start of the record.
func (record *record) seconds() float64 {
	return time.Since(record.started).Seconds()
}

// add adds a line.
func (record *record) add(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	_, _ = fmt.Fprintf(record.out, "%8.3f %s\n", record.seconds(), fmt.Sprintf(format, arguments...))
}

// say adds a line and prints it.
func (record *record) say(format string, arguments ...any) {
	record.add(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

func (record *record) close() error {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	if err := record.out.Flush(); err != nil {
		return err
	}
	return record.file.Close()
}
