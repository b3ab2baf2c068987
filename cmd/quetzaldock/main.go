// Command quetzaldock runs the process beside a backend server and the commands
// of its operators. The command node runs that process in a deployment whose
// nodes distribute their configuration among themselves, the command sidecar on
// the users' platform, where nodes read it from a store or from another node.
//
// This package only parses the command line; packages node, sidecar, command,
// operator and experiment do the work.
package main

import (
	"fmt"
	"os"

	"quetzaldock.example/quetzaldock/internal/command"
)

func main() {
	c := newCLI(os.Stdout)
	c.addNode()
	c.addSidecar()
	c.addStatus()
	c.addRoute()
	c.addDemo()
	c.addLoad()
	c.addCheck()
	c.addExplain()
	c.addDiff()
	c.addKey()
	c.addTrace()
	err := c.run(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "quetzaldock: %s\n", err)
	}
	os.Exit(command.ExitCode(err))
}
