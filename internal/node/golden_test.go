package node_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"quetzaldock.example/quetzaldock/pkg/config"
)

// A session is one caller's connection with the texts that went over it.
type session struct {
	t    *testing.T
	c    net.Conn
	r    *bufio.Reader
	sent *http.Request
	text bytes.Buffer
}

func (f *fleet) session(t *testing.T, i int) *session {
	c := f.dial(t, f.members[i].node.Settings.CallerAddress)
	s := &session{t: t, c: c}
	s.r = bufio.NewReader(io.TeeReader(c, &s.text))
	return s
}

// call sends a request and reads its whole answer.
func (s *session) call(request string) *http.Response {
	s.t.Helper()
	s.send(request)
	return s.receive()
}

func (s *session) send(request string) {
	s.t.Helper()
	s.text.WriteString(strings.ReplaceAll("\n"+request, "\n", "\n> "))
	s.text.WriteString("\n")
	_, err := io.WriteString(s.c, request)
	assert.NilError(s.t, err)
	method, _, _ := strings.Cut(request, " ")
	s.sent = &http.Request{Method: method}
}

func (s *session) receive() *http.Response {
	s.t.Helper()
	a, err := http.ReadResponse(s.r, s.sent)
	assert.NilError(s.t, err)
	_, err = io.Copy(io.Discard, a.Body)
	assert.NilError(s.t, err)
	return a
}

// stable holds what differs from run to run and the word in its place.
var stable = []struct {
	from *regexp.Regexp
	to   string
}{
	{regexp.MustCompile(`\r`), ""},
	{regexp.MustCompile(`(?m)^Date: .*$`), "Date: DATE"},
	{regexp.MustCompile(`(?m)^Content-Length: \d+$`), "Content-Length: LENGTH"},
	{regexp.MustCompile(`Request-Id: \w+`), "Request-Id: ID"},
	{regexp.MustCompile(`Bearer qd_[\w-]+`), "Bearer KEY"},
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f-]+`), "UUID"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	// The echo of the backend server: host, microseconds and checksum.
	{regexp.MustCompile(`\|host-\d\|\d+\|`), "|HOST|MICROSECONDS|"},
	{regexp.MustCompile(`(?m)^[0-9a-f]{16}$`), "CHECKSUM"},
	{regexp.MustCompile(`(?m)[ \t]+$`), ""},
}

// assert compares the session with its file; go test -update writes the file.
func (s *session) assert(file string) {
	s.t.Helper()
	text := s.text.String()
	for _, r := range stable {
		text = r.from.ReplaceAllString(text, r.to)
	}
	golden.Assert(s.t, strings.TrimSpace(text)+"\n", file)
}

// TestSessionsOfCallers guards against changes of what callers see on the
// wire: status, headers and texts of answers and refusals, and whether the
// connection goes on.
func TestSessionsOfCallers(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3)
	request := func(line, key string, headers ...string) string {
		h := []string{line + " HTTP/1.1", "Host: mesh", "Trial-Id: trial"}
		if key != "" {
			h = append(h, "Authorization: Bearer "+key)
		}
		return strings.Join(append(h, headers...), "\r\n") + "\r\n\r\n"
	}
	a := f.keys["club-a"]

	s := f.session(t, 0)
	s.call(request("GET /entries/7?size=10", a))
	s.call(request("GET /records/3", a))
	s.call(request("HEAD /entries/7", a))
	s.call(request("POST /entries", a, "Content-Length: 5") + "entry")
	s.assert("served.golden")

	s = f.session(t, 0)
	s.call(request("GET /public/sheet", ""))
	s.call(request("GET /public/sheet", "qd_unknown"))
	s.assert("open-route.golden")

	s = f.session(t, 0)
	s.call(request("GET /entries/7", ""))
	s.call(request("GET /entries/7", "qd_unknown"))
	s.call(request("GET /nowhere", a))
	s.call(request("GET /entries/7", a, "Quetzaldock-Call: made-up"))
	s.call(request("GET /entries/7", a, "Quetzaldock-Timeout-Ms: soon"))
	s.assert("refused.golden")

	s = f.session(t, 0)
	s.call(request("GET /entries/7?nest=/records/1,/entries/2", a))
	s.call(request("GET /entries/7?nest=/nowhere", a))
	s.assert("nested.golden")

	id, err := uuid.NewV7()
	assert.NilError(t, err)
	s = f.session(t, 0)
	s.call(request("POST /entries", a, "Idempotency-Key: "+id.String(), "Content-Length: 0"))
	// The report to the other witnesses does not hold up the answer.
	f.await("the witnesses know the end", func() bool {
		r := f.request(http.MethodPost, "/entries", "club-a", "again")
		r.Header.Set("Idempotency-Key", id.String())
		return f.send(1, r).header.Get("Quetzaldock-Outcome") == "done"
	})
	s.call(request("POST /entries", a, "Idempotency-Key: "+id.String(), "Content-Length: 0"))
	s.call(request("POST /entries", a, "Idempotency-Key: older-than-all-witnesses", "Content-Length: 0"))
	s.assert("repeat.golden")

	// The bucket of a new account starts empty; this one fills in 100 seconds.
	key, digest, err := config.NewKey()
	assert.NilError(t, err)
	f.doc.Accounts = append(f.doc.Accounts, config.ClientAccount{Name: "club-new", Keys: []string{digest}})
	f.doc.Exceptions = []config.Exception{{
		Name: "slow", Reason: "shows a refusal", Account: "club-new", Values: config.Values{Rate: ptr(0.01), Burst: ptr(1.0)},
	}}
	f.publish()
	f.await("new account", func() bool { return f.allAt(f.version) })
	s = f.session(t, 0)
	s.call(request("GET /entries/7", key))
	s.assert("over-the-rate.golden")

	f.sessionsInZoneOut(t, request)
	f.sessionsDuringStop(t, request, a)
}

// sessionsInZoneOut records how a caller is asked to leave a zone, is refused
// there, and is served again. The route is open to all: quota moves between
// hosts at that time, which is no matter of these sessions.
func (f *fleet) sessionsInZoneOut(t *testing.T, request func(string, string, ...string) string) {
	before, during, after := f.session(t, 0), f.session(t, 0), f.session(t, 0)
	before.call(request("GET /public/sheet", ""))
	f.doc.Zones[0].Out = true
	f.publish()
	f.await("zone out", func() bool { return status(f.members[0]).Version == f.version })
	before.call(request("GET /public/sheet", ""))
	before.assert("zone-out-notice.golden")
	// After the notice the node takes no more calls.
	f.await("calls refused", func() bool {
		return f.send(0, f.request(http.MethodGet, "/entries/7", "club-a", "probe")).notRun == "ZoneOut"
	})
	during.call(request("GET /public/sheet", ""))
	during.assert("zone-out.golden")
	f.doc.Zones[0].Out = false
	f.publish()
	f.await("zone in", func() bool { return f.allAt(f.version) })
	after.call(request("GET /public/sheet", ""))
	after.assert("zone-in.golden")
}

// sessionsDuringStop records a planned stop that finishes the call that runs
// and closes the connection after it.
func (f *fleet) sessionsDuringStop(t *testing.T, request func(string, string, ...string) string, key string) {
	s := f.session(t, 1)
	s.send(request("GET /entries/7?ms=1500", key))
	f.await("call runs", func() bool {
		n := 0
		for _, m := range f.members {
			n += status(m).Gate.Running
		}
		return n > 0
	})
	f.members[1].node.Drain()
	f.await("stopping", func() bool { return status(f.members[1]).Stopping })
	a := s.receive()
	assert.Assert(t, a.Close)
	assert.Equal(t, a.StatusCode, http.StatusOK)
	_, err := s.r.Peek(1)
	assert.ErrorIs(t, err, io.EOF)
	s.assert("planned-stop.golden")
}
