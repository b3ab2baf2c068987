package command

import (
	"fmt"
	"io"
)

// Check validates a manifest file and part files as nodes do. It prints one line
// "file: key: reason" for each fault and returns ErrRefused, or it prints how
// many entries of each kind the accepted version has.
func Check(w io.Writer, files []string) error {
	if len(files) == 0 {
		return ErrUsage.New("check needs %s and its part files", manifestFile)
	}
	p, err := readFiles(files)
	if err != nil {
		return err
	}
	s, err := p.accept(w)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s: version %d would be accepted: %d zones, %d services, %d hosts, %d routes, %d accounts, %d exceptions\n",
		p.path, s.Version, len(s.Zones), len(s.Services), len(s.Hosts), len(s.Routes), len(s.Accounts), len(s.Exceptions))
	if err != nil {
		return ErrWrite.New("%s", err)
	}
	return nil
}
