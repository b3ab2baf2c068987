package standin

import (
	"bytes"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// An Echo is what a backend server answers: whose request it ran and where.
type Echo struct {
	TrialID string
	Account string
	Path    string
	Host    string
	// RunUs is how long the backend server ran the request, in microseconds.
	RunUs int64
	// Nested is the status of the nested call, 0 without one.
	NestedStatus int
	// Size is the length of the filler between head and checksum in bytes.
	FillerBytes int
}

// Encode returns head line, filler and checksum line.
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

// DecodeEcho returns the echo of a body and false if the body is not the whole
// of one answer.
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
