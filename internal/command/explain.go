package command

import (
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// An ExplainQuery names the service, zone and account whose effective values are
// explained. For an empty name, exceptions that select by it do not apply.
type ExplainQuery struct {
	Service string
	Zone    string
	Account string
}

// Explain prints each effective value and its source: the fleet's default, or
// the exception that sets it and the exception's reason.
func Explain(w io.Writer, query ExplainQuery, files []string) error {
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
	if err := query.checkNames(s); err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "SETTING\tVALUE\tSOURCE\n")
	for _, o := range s.Explain(query.Service, query.Zone, query.Account) {
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

// checkNames returns an error if the configuration does not have one of the
// names. Otherwise a misspelled name would show the defaults.
func (q *ExplainQuery) checkNames(s *config.Snapshot) error {
	switch {
	case q.Service != "" && s.Services[q.Service] == nil:
		return ErrUsage.New("version %d has no service %q", s.Version, q.Service)
	case q.Zone != "" && s.Zones[q.Zone] == nil:
		return ErrUsage.New("version %d has no zone %q", s.Version, q.Zone)
	case q.Account != "" && s.Accounts[q.Account] == nil:
		return ErrUsage.New("version %d has no account %q", s.Version, q.Account)
	}
	return nil
}
