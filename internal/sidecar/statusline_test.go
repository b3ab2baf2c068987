package sidecar

import (
	"net/http"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against responses of an instance with an invalid status line that reach a
// caller, are skipped like interim ones, or are reported as not run.
func TestInvalidStatusLinesReachNoCaller(t *testing.T) {
	findLeaks(t)
	m := newMeshWithOneInstance(t)
	const body = "Content-Length: 5\r\n\r\nwrong"
	wrong := okLine + body
	streams := []stream{
		{name: "000", head: "HTTP/1.1 000 None\r\n\r\n" + wrong},
		{name: "000 with a body", head: "HTTP/1.1 000 None\r\n" + body},
		{name: "000 with a body in chunks", head: "HTTP/1.1 000 None\r\n" + chunked + "5\r\nwrong\r\n0\r\n\r\n"},
		{name: "000 with a body until close", head: "HTTP/1.1 000 None\r\nConnection: close\r\n\r\nwrong"},
		{name: "099", head: "HTTP/1.1 099 None\r\n\r\n" + wrong},
		{name: "600", head: "HTTP/1.1 600 None\r\n" + body},
		{name: "999", head: "HTTP/1.1 999 None\r\n" + body},
		{name: "interim responses over the limit of the header", head: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 10000) + wrong},
		{name: "101", head: "HTTP/1.1 101 Switching Protocols\r\n\r\n" + wrong},
		{name: "two digits", head: "HTTP/1.1 20 OK\r\n" + body},
		{name: "five digits", head: "HTTP/1.1 20000 OK\r\n" + body},
		{name: "plus sign", head: "HTTP/1.1 +20 OK\r\n\r\n" + wrong},
		{name: "minus zero", head: "HTTP/1.1 -00 OK\r\n\r\n" + wrong},
		{name: "no status", head: "HTTP/1.1\r\n" + body},
		{name: "HTTP/0.9 without status line", head: "wrong"},
		{name: "HTTP/0.9", head: "HTTP/0.9 200 OK\r\n" + body},
		{name: "HTTP/2.0", head: "HTTP/2.0 200 OK\r\n" + body},
		{name: "status in a trailer", head: okLine + chunked + "5\r\nwrong\r\n0\r\n" + "HTTP/1.1 000 None\r\n\r\n"},
	}
	for i := range streams {
		streams[i].part, streams[i].slow = "wrong", true
	}
	for part := range slices.Chunk(streams, maxStreams) {
		m.play(t, longLeft, part, func(t *testing.T, s stream, a cutResponse) {
			expectStatus(http.StatusBadGateway)(t, s, a)
			assert.Assert(t, !strings.Contains(a.body, "wrong"), a.body)
		})
	}
}

// Guards against an invalid status that reaches a caller if the instance sends it before it
// has read the upload.
func TestInvalidStatusDuringAnUploadReachesNoCaller(t *testing.T) {
	m := newMeshWithOneInstance(t)
	var responses []uploadResponse
	for framing, body := range framedBody(1000) {
		responses = append(
			responses,
			uploadResponse{framing + ", half-closed", body.whole, true, endResponse},
			uploadResponse{framing + ", reset", body.whole, true, resetConnection},
		)
	}
	m.backends[0].answerUploadsWith(t, "HTTP/1.1 000 None\r\n", responses)
	for i, r := range responses {
		m.uploadToAll(t, i, func(node, status, size int, err error) {
			assert.Check(t, status == http.StatusBadGateway && err == nil, "%s at node %d: status %d, %d bytes, error %v", r.name, node, status, size, err)
		})
	}
}
