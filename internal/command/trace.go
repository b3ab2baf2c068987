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

// traceLineBytes bounds one line of a log.
const traceLineBytes = 1 << 20

// A traceLine is one line of a log that concerns a request.
type traceLine struct {
	at   time.Time
	host string
	text string
	// fields are name=value, in the order of the line.
	fields []string
}

// Trace prints what the logs of several hosts say of one request, and of the
// requests that backend servers made for it, in the order of time. Lines that
// are not JSON are counted and passed over.
func Trace(w io.Writer, id string, files []string) error {
	if id == "" || len(files) == 0 {
		return ErrUsage.New("trace needs the ID of a request and at least one log file")
	}
	var all []traceLine
	unread := 0
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return ErrRead.Wrap(err, "log")
		}
		lines, bad, err := readTrace(f, id)
		_ = f.Close()
		if err != nil {
			return ErrRead.Wrap(err, "%s", name)
		}
		all, unread = append(all, lines...), unread+bad
	}
	slices.SortStableFunc(all, func(a, b traceLine) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.host, b.host)) })
	return printTrace(w, id, all, unread)
}

// readTrace returns the lines about the request and the number of unreadable
// ones.
func readTrace(r io.Reader, id string) ([]traceLine, int, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, traceLineBytes)
	var all []traceLine
	unread := 0
	for s.Scan() {
		b := s.Bytes()
		// Collectors put their own words before the line.
		start := bytes.IndexByte(b, '{')
		if start < 0 {
			if len(bytes.TrimSpace(b)) > 0 {
				unread++
			}
			continue
		}
		l, about, err := parseTrace(b[start:], id)
		switch {
		case err != nil:
			unread++
		case about:
			all = append(all, l)
		}
	}
	if err := s.Err(); err != nil {
		return nil, unread, ErrRead.Wrap(err, "line too long or file damaged")
	}
	return all, unread, nil
}

// parseTrace reads one line and tells whether it is about the request.
func parseTrace(b []byte, id string) (traceLine, bool, error) {
	var l traceLine
	about := false
	d := json.NewDecoder(bytes.NewReader(b))
	d.UseNumber()
	if _, err := d.Token(); err != nil {
		return l, false, ErrRead.Wrap(err, "no JSON")
	}
	for d.More() {
		t, err := d.Token()
		key, ok := t.(string)
		if err != nil || !ok {
			return l, false, ErrRead.New("no JSON object")
		}
		var raw json.RawMessage
		if err := d.Decode(&raw); err != nil {
			return l, false, ErrRead.Wrap(err, "value of %s", key)
		}
		text := plain(raw)
		switch key {
		case "time":
			if l.at, err = time.Parse(time.RFC3339Nano, text); err != nil {
				return l, false, ErrRead.Wrap(err, "time")
			}
		case "level":
		case "msg":
			l.text = text
		case "host":
			l.host = text
		case "request":
			about = text == id || strings.HasPrefix(text, id+".")
			if text != id {
				l.fields = append(l.fields, "request="+text)
			}
		default:
			if text != "" && text != "null" {
				l.fields = append(l.fields, key+"="+text)
			}
		}
	}
	return l, about, nil
}

// plain returns a string without its quotes and any other value as it is.
func plain(raw json.RawMessage) string {
	var s string
	var syntax *json.UnmarshalTypeError
	if err := json.Unmarshal(raw, &s); err == nil || !errors.As(err, &syntax) {
		return s
	}
	return string(raw)
}

func printTrace(w io.Writer, id string, all []traceLine, unread int) error {
	if unread > 0 {
		fmt.Fprintf(w, "%d lines could not be read\n", unread)
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
