package main

import (
	"io"
	"runtime/debug"
	"strings"

	"github.com/integrii/flaggy"

	"quetzaldock.example/quetzaldock/internal/command"
)

// A cli holds the parser of the command line and the action of each command.
type cli struct {
	parser *flaggy.Parser
	out    io.Writer
	// actions are called with the positional arguments after the command's
	// name.
	actions map[*flaggy.Subcommand]func(args []string) error
}

func newCLI(out io.Writer) *cli {
	p := flaggy.NewParser("quetzaldock")
	p.Description = "configuration and calls of a service mesh"
	p.Version = version()
	// With ShowHelpOnUnexpected, flaggy prints its help and exits on unknown
	// commands and flags. Without it, it ignores unknown flags. checkArgs
	// refuses both with a typed error, which gives the exit code.
	p.ShowHelpOnUnexpected = false
	p.ShowCompletion = false
	return &cli{parser: p, out: out, actions: map[*flaggy.Subcommand]func([]string) error{}}
}

// version returns the module version from the build information.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}

// addCommand adds a command below parent, or at the first level if parent is nil.
func (c *cli) addCommand(parent *flaggy.Subcommand, name, description string, action func(args []string) error) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	if parent == nil {
		parent = &c.parser.Subcommand
	}
	parent.AttachSubcommand(s, 1)
	if action != nil {
		c.actions[s] = action
	}
	return s
}

// run parses args and runs the command they name.
func (c *cli) run(args []string) error {
	if !asksForHelp(args) {
		if err := c.checkArgs(args); err != nil {
			return err
		}
	}
	if err := c.parser.ParseArgs(args); err != nil {
		return command.ErrUsage.New("%s", err)
	}
	return c.actions[c.parser.TrailingSubcommand()](c.parser.TrailingArguments)
}

// asksForHelp reports whether flaggy will print its help or version and exit.
func asksForHelp(args []string) bool {
	for _, a := range args {
		switch a {
		case "--":
			return false
		case "-h", "--help", "-help", "--version":
			return true
		}
	}
	return false
}

// checkArgs refuses unknown commands and flags, and flags without a value.
func (c *cli) checkArgs(args []string) error {
	path, s := c.parser.Name, &c.parser.Subcommand
	for len(s.Subcommands) > 0 {
		if len(args) == 0 {
			return command.ErrUsage.New("%s needs a command: %s", path, commandNames(s))
		}
		child := findCommand(s, args[0])
		if child == nil {
			return command.ErrUsage.New("%s has no command %q, only: %s", path, args[0], commandNames(s))
		}
		path, s, args = path+" "+child.Name, child, args[1:]
	}
	for i := 0; i < len(args) && args[i] != "--"; i++ {
		if !strings.HasPrefix(args[i], "-") {
			continue
		}
		name, _, hasValue := strings.Cut(strings.TrimLeft(args[i], "-"), "=")
		f := findFlag(s, name)
		switch {
		case f == nil:
			return command.ErrUsage.New("%s has no flag %q", path, args[i])
		case hasValue || isBool(f):
		case i+1 == len(args):
			return command.ErrUsage.New("%s: flag %q needs a value", path, args[i])
		default:
			i++
		}
	}
	return nil
}

func commandNames(s *flaggy.Subcommand) string {
	var all []string
	for _, child := range s.Subcommands {
		all = append(all, child.Name)
	}
	return strings.Join(all, ", ")
}

func findCommand(s *flaggy.Subcommand, name string) *flaggy.Subcommand {
	for _, child := range s.Subcommands {
		if child.Name == name {
			return child
		}
	}
	return nil
}

func findFlag(s *flaggy.Subcommand, name string) *flaggy.Flag {
	for _, f := range s.Flags {
		if f.HasName(name) {
			return f
		}
	}
	return nil
}

func isBool(f *flaggy.Flag) bool {
	_, ok := f.AssignmentVar.(*bool)
	return ok
}
