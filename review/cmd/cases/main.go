// Command cases runs the scripts of this review. Its argument names the case.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"quetzaldock.example/review/stand"
)

// maxDuration is the longest time of a case.
const maxDuration = 116 * time.Second

// Exit statuses of a case.
const (
	held = iota
	broken
	couldNotRun
)

// cases holds the cases by name.
var cases = map[string]func() (int, error){}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME")
		os.Exit(couldNotRun)
	}
	go endEarly()
	status, err := cases[os.Args[1]]()
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(couldNotRun)
	}
	os.Exit(status)
}

// endEarly ends the case and its processes at a signal or after maxDuration.
func endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(maxDuration):
	}
	fmt.Fprintln(os.Stderr, "the case could not run: it was ended early")
	stand.CloseAll()
	os.Exit(couldNotRun)
}
