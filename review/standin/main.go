// Standin runs the scripts of the review: each starts the project's daemons as processes, with stand-ins of the platform's
// store, of runners and of clients, and checks one rule.
//
//	standin CASE PROGRAM RECORD
//
// CASE is the name of the case, PROGRAM the daemons' program, RECORD the file that is written. With TROUBLE=0 in the
// environment the case runs without its disruption. The exit code is 0 if the rule held, 1 if it was broken, and 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// timeLimit is how long a case may run, by the clock of the machine.
const timeLimit = 110 * time.Second

// startLimit is how long the daemons may take to get ready.
const startLimit = 15 * time.Second

// cases are the scripts. Each returns how often the rule was broken.
var cases = map[string]func(record *record, program string, trouble bool) (int, error){
	"order":   runOrder,
	"config":  runConfig,
	"version": runVersion,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		return exitCannotRun
	}
	record, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	go endOnTime(record)
	record.say("case %s, with its disruption: %v", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](record, os.Args[2], trouble)
	code := exitHeld
	switch {
	case err != nil:
		record.say("the case could not run: %v", err)
		code = exitCannotRun
	case broken > 0:
		record.say("the rule was broken %d times", broken)
		code = exitBroken
	default:
		record.say("the rule held")
	}
	if err := record.close(); err != nil {
		return exitCannotRun
	}
	return code
}

// started are the daemons' processes that have been started and not been waited for.
var started struct {
	sync.Mutex
	processes map[*os.Process]bool
}

// endOnTime ends the case with all its processes when its time is over or it is told to end.
func endOnTime(record *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	record.say("the case could not run: it was ended before its end")
	started.Lock()
	for process := range started.processes {
		_ = process.Kill()
	}
	_ = record.close()
	os.Exit(exitCannotRun)
}
