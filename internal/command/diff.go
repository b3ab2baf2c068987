package command

import (
	"cmp"
	"fmt"
	"io"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// Diff prints the changes from one configuration to another, grouped by
// subject. Each directory holds manifest.toml and parts/*.toml.
func Diff(w io.Writer, dirs []string) error {
	if len(dirs) != 2 {
		return ErrUsage.New("diff needs two directories, OLD and NEW")
	}
	var versions [2]*config.Snapshot
	for i, dir := range dirs {
		p, err := readDirectory(dir)
		if err != nil {
			return err
		}
		if versions[i], err = p.accept(w); err != nil {
			return err
		}
	}
	if err := printChanges(w, versions[0], versions[1]); err != nil {
		return ErrWrite.New("%s", err)
	}
	return nil
}

func printChanges(w io.Writer, before, after *config.Snapshot) error {
	changes := config.Diff(before, after)
	if _, err := fmt.Fprintf(w, "version %d -> %d, %d changes\n", before.Version, after.Version, len(changes)); err != nil {
		return err
	}
	subject := ""
	for _, c := range changes {
		if next := heading(c); next != subject {
			subject = next
			if _, err := fmt.Fprintf(w, "\n%s\n", next); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintf(w, "  %s: %s\n", c.Property, beforeAndAfter(c)); err != nil {
			return err
		}
	}
	return nil
}

func heading(c config.Change) string {
	if c.SubjectName == "" {
		return c.SubjectKind
	}
	return c.SubjectKind + " " + c.SubjectName
}

// beforeAndAfter returns both values of a change, "(none)" for one that does not
// exist.
func beforeAndAfter(c config.Change) string {
	return cmp.Or(c.Before, "(none)") + " -> " + cmp.Or(c.After, "(none)")
}
