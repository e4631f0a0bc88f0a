// Command standin-2 plays the cases of the second review: it starts daemons as processes and plays the
// platform's store, its runners and its clients on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name.
var cases = map[string]func(*bench) (broken bool, err error){
	"empty-chunked-body": emptyChunkedBody,
	"late-in-shutdown":   lateInShutdown,
	"seeds-lost":         seedsLost,
	"foreign-entry":      foreignEntry,
	"encoded-slash":      encodedSlash,
	"watches-cut":        watchesCut,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// longest is the longest time that a case may take.
const longest = 118 * time.Second

// closeEarly ends the case, as one that could not run, when it has taken too long or is interrupted.
func (bench *bench) closeEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(longest):
		}
		bench.note("the case has been ended early")
		bench.close()
		os.Exit(exitNotRun)
	}()
}

// run plays a case and returns its exit code. The record is written to record.txt in a folder.
func run(name, folder string) int {
	bench, err := newBench(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-2:", err)
		return exitNotRun
	}
	defer bench.close()
	bench.closeEarly()
	broken, err := cases[name](bench)
	code := exitHeld
	switch {
	case err != nil:
		bench.note("the case could not run: %v", err)
		code = exitNotRun
	case broken:
		code = exitBroken
	}
	bench.note("exit code %d", code)
	return code
}
