// Cases runs one case of the review: cases NAME RECORD. It exits with 1 if the rule was
// broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 it leaves the
// disruption out. It is to be started in the root of the repository.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"quetzaldock.example/review2/stand"
)

const (
	held       = 0
	broken     = 1
	couldntRun = 2
)

// shopHost is the host of the routes.
const shopHost = "shop.example"

// program is the path of the system's program.
const program = "target/quetzaldock"

var cases = map[string]func(record string, trouble bool) (int, error){
	"reset":  reset,
	"late":   late,
	"born":   born,
	"lender": lender,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases reset|late|born|lender RECORD")
		os.Exit(couldntRun)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-stopped
		stand.CloseAll()
		os.Exit(couldntRun)
	}()
	result, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		result = couldntRun
	}
	os.Exit(result)
}
