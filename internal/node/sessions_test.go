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

// A session is a caller's connection with a transcript of its requests and
// responses.
type session struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
	// lastRequest holds the method of the last request, which the response's
	// reader needs.
	lastRequest *http.Request
	transcript  bytes.Buffer
}

// newSession opens a connection to the node of member i.
func (f *fleet) newSession(t *testing.T, i int) *session {
	c := f.dial(t, f.members[i].node.Settings.CallerAddress)
	s := &session{t: t, conn: c}
	s.reader = bufio.NewReader(io.TeeReader(c, &s.transcript))
	return s
}

// call sends a request and reads its whole response.
func (s *session) call(request string) *http.Response {
	s.t.Helper()
	s.send(request)
	return s.receive()
}

func (s *session) send(request string) {
	s.t.Helper()
	s.transcript.WriteString(strings.ReplaceAll("\n"+request, "\n", "\n> "))
	s.transcript.WriteString("\n")
	_, err := io.WriteString(s.conn, request)
	assert.NilError(s.t, err)
	method, _, _ := strings.Cut(request, " ")
	s.lastRequest = &http.Request{Method: method}
}

func (s *session) receive() *http.Response {
	s.t.Helper()
	a, err := http.ReadResponse(s.reader, s.lastRequest)
	assert.NilError(s.t, err)
	_, err = io.Copy(io.Discard, a.Body)
	assert.NilError(s.t, err)
	return a
}

// replacements replace what differs from run to run by a fixed word.
var replacements = []struct {
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

// assertGolden compares the transcript with a file under testdata; go test
// -update writes the file.
func (s *session) assertGolden(file string) {
	s.t.Helper()
	text := s.transcript.String()
	for _, r := range replacements {
		text = r.from.ReplaceAllString(text, r.to)
	}
	golden.Assert(s.t, strings.TrimSpace(text)+"\n", file)
}

// Guards against changes of what callers see on the wire: status, headers and
// texts of responses and refusals, and whether the connection stays open.
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

	s := f.newSession(t, 0)
	s.call(request("GET /entries/7?size=10", a))
	s.call(request("GET /records/3", a))
	s.call(request("HEAD /entries/7", a))
	s.call(request("POST /entries", a, "Content-Length: 5") + "entry")
	s.assertGolden("served.golden")

	s = f.newSession(t, 0)
	s.call(request("GET /public/sheet", ""))
	s.call(request("GET /public/sheet", "qd_unknown"))
	s.assertGolden("open-route.golden")

	s = f.newSession(t, 0)
	s.call(request("GET /entries/7", ""))
	s.call(request("GET /entries/7", "qd_unknown"))
	s.call(request("GET /nowhere", a))
	s.call(request("GET /entries/7", a, "Quetzaldock-Call: made-up"))
	s.call(request("GET /entries/7", a, "Quetzaldock-Timeout-Ms: soon"))
	s.assertGolden("refused.golden")

	s = f.newSession(t, 0)
	s.call(request("GET /entries/7?nest=/records/1,/entries/2", a))
	s.call(request("GET /entries/7?nest=/nowhere", a))
	s.assertGolden("nested.golden")

	id, err := uuid.NewV7()
	assert.NilError(t, err)
	s = f.newSession(t, 0)
	s.call(request("POST /entries", a, "Idempotency-Key: "+id.String(), "Content-Length: 0"))
	// The response does not wait until the other witnesses know of it.
	f.await("witnesses know that the request ended", func() bool {
		r := f.request(http.MethodPost, "/entries", "club-a", "again")
		r.Header.Set("Idempotency-Key", id.String())
		return f.send(1, r).header.Get("Quetzaldock-Outcome") == "done"
	})
	s.call(request("POST /entries", a, "Idempotency-Key: "+id.String(), "Content-Length: 0"))
	s.call(request("POST /entries", a, "Idempotency-Key: older-than-all-witnesses", "Content-Length: 0"))
	s.assertGolden("repeat.golden")

	// The token bucket of a new account starts empty; this one needs 100 s for a
	// token.
	key, digest, err := config.NewKey()
	assert.NilError(t, err)
	f.document.Accounts = append(f.document.Accounts, config.ClientAccount{Name: "club-new", Keys: []string{digest}})
	f.document.Exceptions = []config.Exception{{
		Name: "slow", Reason: "shows a refusal", Account: "club-new", Values: config.Values{Rate: ptr(0.01), Burst: ptr(1.0)},
	}}
	f.publish()
	f.await("new account", func() bool { return f.allReadyAt(f.version) })
	s = f.newSession(t, 0)
	s.call(request("GET /entries/7", key))
	s.assertGolden("over-the-rate.golden")

	f.recordZoneOutSessions(t, request)
	f.recordPlannedStop(t, request, a)
}

// recordZoneOutSessions records how a caller is asked to leave a zone that was
// taken out of service, is refused there, and is served again later. It uses an
// open route, which needs no quota: quota that moves between hosts at that time
// could refuse a call.
func (f *fleet) recordZoneOutSessions(t *testing.T, request func(string, string, ...string) string) {
	before, during, after := f.newSession(t, 0), f.newSession(t, 0), f.newSession(t, 0)
	before.call(request("GET /public/sheet", ""))
	f.document.Zones[0].Out = true
	f.publish()
	f.await("zone out", func() bool { return fetchStatus(f.members[0]).Version == f.version })
	before.call(request("GET /public/sheet", ""))
	before.assertGolden("zone-out-notice.golden")
	// Once zoneOutGrace has passed, the node accepts no calls.
	f.await("calls refused", func() bool {
		return f.send(0, f.request(http.MethodGet, "/entries/7", "club-a", "probe")).notRun == "ZoneOut"
	})
	during.call(request("GET /public/sheet", ""))
	during.assertGolden("zone-out.golden")
	f.document.Zones[0].Out = false
	f.publish()
	f.await("zone in", func() bool { return f.allReadyAt(f.version) })
	after.call(request("GET /public/sheet", ""))
	after.assertGolden("zone-in.golden")
}

// recordPlannedStop records a planned stop that finishes the running call and
// then closes the connection.
func (f *fleet) recordPlannedStop(t *testing.T, request func(string, string, ...string) string, key string) {
	s := f.newSession(t, 1)
	s.send(request("GET /entries/7?ms=1500", key))
	f.await("call runs", func() bool {
		n := 0
		for _, m := range f.members {
			n += fetchStatus(m).Gate.Running
		}
		return n > 0
	})
	f.members[1].node.Drain()
	f.await("stopping", func() bool { return fetchStatus(f.members[1]).Stopping })
	a := s.receive()
	assert.Assert(t, a.Close)
	assert.Equal(t, a.StatusCode, http.StatusOK)
	_, err := s.reader.Peek(1)
	assert.ErrorIs(t, err, io.EOF)
	s.assertGolden("planned-stop.golden")
}
