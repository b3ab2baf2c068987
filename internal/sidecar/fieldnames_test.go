package sidecar

import (
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against responses of an instance with an invalid name of a field that reach a
// caller, with that line or with another body than the instance's, or that are reported as
// not run.
func TestInvalidFieldNamesReachNoCaller(t *testing.T) {
	m := newMeshWithOneInstance(t)
	var responses []uploadResponse
	for _, field := range []string{
		"Bad Name: x", "X-Bad : x", " X-Bad: x", "\tX-Bad: x", "Content-Length : 3", "Transfer-Encoding : chunked",
		"Bad\tName: x", "Bad\x01Name: x", "X-Bad\x00: x", "Bad\x7fName: x", ": x",
	} {
		for framing, body := range framedBody(1000) {
			for _, early := range []bool{true, false} {
				name := fmt.Sprintf("%q, %s, early %t", field, framing, early)
				responses = append(responses, uploadResponse{name, field + "\r\n" + body.whole, early, endResponse})
			}
		}
	}
	m.backends[0].answerUploads(t, responses)
	const atOnce = 6
	for part := range slices.Chunk(responses, atOnce) {
		first := slices.IndexFunc(responses, func(r uploadResponse) bool { return r.name == part[0].name })
		var w sync.WaitGroup
		for i, r := range part {
			for node := range m.nodes {
				w.Go(func() {
					status, size, err := m.upload(t, node, first+i)
					assert.Check(t, status == http.StatusBadGateway && err == nil, "%s at node %d: status %d, %d bytes, error %v", r.name, node, status, size, err)
				})
			}
		}
		w.Wait()
	}
	waitFor(t, "free slots", func() bool { return m.nodes[0].admission.Load().Running == 0 })
}

// Guards against an invalid name in a trailer whose response a caller takes for complete.
func TestInvalidFieldNamesOfTrailersReachNoCaller(t *testing.T) {
	m := newMeshWithOneInstance(t)
	var responses []uploadResponse
	for _, n := range testResponseSizes {
		body := strings.TrimSuffix(framedBody(n)["chunks"].whole, "\r\n")
		for _, trailer := range []string{"Bad Name: x", "X-Bad : x", "Bad\x01Name: x"} {
			responses = append(responses, uploadResponse{fmt.Sprintf("%q, %d bytes", trailer, n), body + trailer + "\r\n\r\n", false, endResponse})
		}
	}
	m.backends[0].answerUploads(t, responses)
	for i, r := range responses {
		for node := range m.nodes {
			status, size, err := m.upload(t, node, i)
			broken := status == http.StatusBadGateway && err == nil || status == http.StatusOK && err != nil
			assert.Check(t, broken, "%s at node %d: status %d, %d bytes, error %v", r.name, node, status, size, err)
		}
	}
}

// Guards against a refused response that operators cannot find in the log and the metrics.
func TestInvalidFieldNameIsLoggedAndCounted(t *testing.T) {
	log := &lockedBuffer{}
	m := newMeshWith(t, 1, func(n *Node) { n.Log = slog.New(slog.NewTextHandler(log, nil)) })
	m.backends[0].answerUploads(t, []uploadResponse{{"", "Bad Name: x\r\nContent-Length: 0\r\n\r\n", false, endResponse}})
	a := m.send(t, 0, http.MethodPost, "/entry/0")
	assert.Equal(t, a.status, http.StatusBadGateway)
	waitFor(t, "metric", func() bool { return strings.Contains(metricsOf(t, m.nodes[0]), `status="502"} 1`) })
	waitFor(t, "log lines", func() bool {
		return log.line("no whole answer of the backend server", "instance=i-0", "the name of a field") != "" &&
			log.line("request ended", "status=502", "reason=NoWholeAnswer", "the name of a field") != ""
	})
}
