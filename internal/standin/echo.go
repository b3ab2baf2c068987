package standin

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// An Echo is the answer of a BackendServer. It says whose request the server ran
// and where, so that a caller can tell that the answer is its own and complete.
type Echo struct {
	// TrialID is the Trial-Id header of the request.
	TrialID string
	// Account is the client account that the node wrote into the request.
	Account string
	Path    string
	// Host is the ID of the host whose backend server ran the request.
	Host string
	// RunUs is how long the backend server ran the request, in microseconds.
	RunUs int64
	// NestedStatus is the HTTP status of the nested call, 0 without one.
	NestedStatus int
	// FillerBytes is the length of the filler between the head line and the
	// checksum line.
	FillerBytes int
}

// Encode returns the body of the answer: a head line with the fields, the filler
// and a line with a checksum of both.
func (e Echo) Encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s|%s|%s|%s|%d|%d|%d\n", e.TrialID, e.Account, e.Path, e.Host, e.RunUs, e.NestedStatus, e.FillerBytes)
	state := xxhash.Sum64String(e.TrialID)
	for range e.FillerBytes {
		state = state*6364136223846793005 + 1442695040888963407
		b.WriteByte('a' + byte(state>>33)%26)
	}
	fmt.Fprintf(&b, "\n%016x\n", xxhash.Sum64(b.Bytes()))
	return b.Bytes()
}

// DecodeEcho parses the body of an answer. It returns false if the body is not
// exactly one complete answer.
func DecodeEcho(b []byte) (Echo, bool) {
	const tailBytes = 18 // newline, 16 digits, newline
	if len(b) < tailBytes {
		return Echo{}, false
	}
	body, sum := b[:len(b)-tailBytes], b[len(b)-tailBytes+1:len(b)-1]
	want, err := strconv.ParseUint(string(sum), 16, 64)
	if err != nil || want != xxhash.Sum64(body) {
		return Echo{}, false
	}
	head, filler, ok := bytes.Cut(body, []byte("\n"))
	f := bytes.Split(head, []byte("|"))
	if !ok || len(f) != 7 {
		return Echo{}, false
	}
	e := Echo{TrialID: string(f[0]), Account: string(f[1]), Path: string(f[2]), Host: string(f[3])}
	e.RunUs, _ = strconv.ParseInt(string(f[4]), 10, 64)
	e.NestedStatus, _ = strconv.Atoi(string(f[5]))
	e.FillerBytes, _ = strconv.Atoi(string(f[6]))
	return e, e.FillerBytes == len(filler)
}
