// Command quetzaldock runs the node beside a backend server and the tools of
// its operators.
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
