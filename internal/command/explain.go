package command

import (
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// An ExplainQuery asks for the values in force for one kind of call. An empty
// name stands for any; no exception that selects by it applies.
type ExplainQuery struct {
	Service string
	Zone    string
	Account string
}

// Explain prints each effective value and its source: the fleet's default, or
// the exception and its reason.
func Explain(w io.Writer, x ExplainQuery, files []string) error {
	if len(files) == 0 {
		return ErrUsage.New("explain needs %s and its part files", manifestFile)
	}
	p, err := readFiles(files)
	if err != nil {
		return err
	}
	s, err := p.accept(w)
	if err != nil {
		return err
	}
	if err := x.check(s); err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "SETTING\tVALUE\tSOURCE\n")
	for _, o := range s.Explain(x.Service, x.Zone, x.Account) {
		source := "fleet default"
		if o.Exception != "" {
			source = fmt.Sprintf("exception %s: %s", o.Exception, o.Reason)
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\n", o.Name, strconv.FormatFloat(o.Value, 'f', -1, 64), source)
	}
	if err := t.Flush(); err != nil {
		return ErrWrite.New("%s", err)
	}
	return nil
}

// check refuses names that the configuration lacks: a misspelled name would
// be explained by the defaults.
func (x *ExplainQuery) check(s *config.Snapshot) error {
	switch {
	case x.Service != "" && s.Services[x.Service] == nil:
		return ErrUsage.New("version %d has no service %q", s.Version, x.Service)
	case x.Zone != "" && s.Zones[x.Zone] == nil:
		return ErrUsage.New("version %d has no zone %q", s.Version, x.Zone)
	case x.Account != "" && s.Accounts[x.Account] == nil:
		return ErrUsage.New("version %d has no account %q", s.Version, x.Account)
	}
	return nil
}
