package command

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
)

// maxLogLineBytes bounds one line of a log file.
const maxLogLineBytes = 1 << 20

// A traceLine is one line of a log file.
type traceLine struct {
	at   time.Time
	host string
	// text is the log message.
	text string
	// fields holds the other fields as name=value, in the order of the line.
	fields []string
}

// Trace prints the lines about one request from the log files of several hosts
// in the order of time. It includes the requests that backend servers made in
// its course, whose IDs are the request's ID, a dot and a part of their own.
// Lines that are not JSON are counted and left out.
func Trace(w io.Writer, id string, files []string) error {
	if id == "" || len(files) == 0 {
		return ErrUsage.New("trace needs the ID of a request and at least one log file")
	}
	var all []traceLine
	unreadable := 0
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return ErrRead.Wrap(err, "cannot open the log file")
		}
		lines, bad, err := readLogLines(f, id)
		_ = f.Close()
		if err != nil {
			return ErrRead.Wrap(err, "cannot read the log file %s", name)
		}
		all, unreadable = append(all, lines...), unreadable+bad
	}
	slices.SortStableFunc(all, func(a, b traceLine) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.host, b.host)) })
	return printTrace(w, id, all, unreadable)
}

// readLogLines returns the lines about the request and the number of lines that
// cannot be read.
func readLogLines(r io.Reader, id string) ([]traceLine, int, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLineBytes)
	var all []traceLine
	unreadable := 0
	for s.Scan() {
		b := s.Bytes()
		// Log collectors may put text of their own before the JSON object.
		start := bytes.IndexByte(b, '{')
		if start < 0 {
			if len(bytes.TrimSpace(b)) > 0 {
				unreadable++
			}
			continue
		}
		l, matches, err := parseLogLine(b[start:], id)
		switch {
		case err != nil:
			unreadable++
		case matches:
			all = append(all, l)
		}
	}
	if err := s.Err(); err != nil {
		return nil, unreadable, ErrRead.Wrap(err, "a line is too long or the file cannot be read")
	}
	return all, unreadable, nil
}

// parseLogLine decodes one line and reports whether it is about the request.
func parseLogLine(b []byte, id string) (traceLine, bool, error) {
	var l traceLine
	matches := false
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	if _, err := d.Token(); err != nil {
		return l, false, ErrRead.Wrap(err, "the line is not JSON")
	}
	for d.More() {
		t, err := d.Token()
		key, ok := t.(string)
		if err != nil || !ok {
			return l, false, ErrRead.New("the line is not a JSON object")
		}
		var raw json.RawMessage
		if err := d.Decode(&raw); err != nil {
			return l, false, ErrRead.Wrap(err, "value of %s", key)
		}
		text := valueText(raw)
		switch key {
		case "time":
			if l.at, err = time.Parse(time.RFC3339Nano, text); err != nil {
				return l, false, ErrRead.Wrap(err, "the field time is not an RFC 3339 time")
			}
		case "level":
		case "msg":
			l.text = text
		case "host":
			l.host = text
		case "request":
			matches = text == id || strings.HasPrefix(text, id+".")
			if text != id {
				l.fields = append(l.fields, "request="+text)
			}
		default:
			if text != "" && text != "null" {
				l.fields = append(l.fields, key+"="+text)
			}
		}
	}
	return l, matches, nil
}

// valueText returns a JSON string without its quotes, and other values as they
// are written.
func valueText(raw json.RawMessage) string {
	var s string
	var typeErr *json.UnmarshalTypeError
	if err := json.Unmarshal(raw, &s); err == nil || !errors.As(err, &typeErr) {
		return s
	}
	return string(raw)
}

func printTrace(w io.Writer, id string, all []traceLine, unreadable int) error {
	if unreadable > 0 {
		fmt.Fprintf(w, "%d lines could not be read\n", unreadable)
	}
	if len(all) == 0 {
		return ErrRead.New("no line about request %s: it ended as usual and was not sampled, or its lines were dropped", id)
	}
	fmt.Fprintf(w, "request %s, from %s\n", id, all[0].at.UTC().Format(time.RFC3339Nano))
	for _, l := range all {
		fmt.Fprintf(w, "%+9.3f s  %-28s %s: %s\n", l.at.Sub(all[0].at).Seconds(), l.host, l.text, strings.Join(l.fields, ", "))
	}
	return nil
}
