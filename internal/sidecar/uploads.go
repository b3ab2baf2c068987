package sidecar

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/pkg/priorityadmission"
	"quetzaldock.example/quetzaldock/pkg/transferlimit"
)

const (
	// minUploadBytes is the size from which a request body is sent to another node only
	// once that node asks for it. A shorter one costs less than the round trip.
	minUploadBytes = 8 << 10
	// maxHeldUploadBytes is the size up to which a body from another node is held in
	// memory before its request takes a slot. A longer one streams to the instance.
	maxHeldUploadBytes = 1 << 20
	// uploadMemoryDivisor limits the bodies that are held to this part of the memory of
	// the process.
	uploadMemoryDivisor = 8
	// maxTransferTime is the time after which a body that is still arriving no longer
	// keeps others from being asked for. At 10 Mbit/s it allows for 600 KB.
	maxTransferTime = 500 * time.Millisecond
	// maxReceiveTime is the time after which the rest of a body streams to the instance, so
	// that clients that send slowly do not hold the memory of all uploads.
	maxReceiveTime = time.Second
	// transferStall is the time without a byte after which the rest of a body streams to
	// the instance: its client may wait for the first part of the response.
	transferStall = 200 * time.Millisecond
)

// isUpload reports whether the body of a request is sent to another node only once that
// node asks for it. net/http reads the start of a body of unknown length before it writes
// the header of a method that usually has none, which would wait for the other node.
func (r *InstanceRequest) isUpload() bool {
	if r.BodyLength >= 0 {
		return r.BodyLength >= minUploadBytes
	}
	m := r.Original.Method
	return m == http.MethodPost || m == http.MethodPut || m == http.MethodPatch
}

// uploadReceiver receives the large bodies of other nodes' requests, a few at a time.
type uploadReceiver struct {
	limiter *transferlimit.Limiter
	// preview returns the refusal that the request would get now, or nil.
	preview func(r *InstanceRequest) error
}

// receive reads the body of an upload into memory, after the requests before it. The
// request then waits for a slot without holding one while its body arrives. A body that
// stalls streams from there on. release gives up the memory of the body. The error is a
// *priorityadmission.Refusal or a *call.NotRun; the request has not run.
func (u *uploadReceiver) receive(ctx context.Context, r *InstanceRequest) (release func(), err error) {
	if r.BodyLength < minUploadBytes || r.BodyLength > maxHeldUploadBytes {
		return func() {}, nil
	}
	if err := u.preview(r); err != nil {
		return nil, err
	}
	t, err := u.limiter.Begin(ctx, transferlimit.Request{Bytes: r.BodyLength, Priority: r.Priority, Deadline: r.Deadline, NoWait: r.NoWait})
	var full *transferlimit.Refusal
	switch {
	case errors.As(err, &full) && r.NoWait:
		return nil, &priorityadmission.Refusal{Reason: priorityadmission.Full, RetryAfter: full.RetryAfter}
	case errors.As(err, &full):
		return nil, &priorityadmission.Refusal{Reason: priorityadmission.Overloaded, RetryAfter: full.RetryAfter}
	case err != nil:
		return nil, &priorityadmission.Refusal{Reason: priorityadmission.Canceled}
	}
	defer time.AfterFunc(maxTransferTime, t.Yield).Stop()
	start, err := call.ReadArriving(r.Body, int(r.BodyLength), transferStall, maxReceiveTime)
	if err != nil {
		t.Release()
		return nil, &call.NotRun{Reason: "BodyIncomplete"}
	}
	t.End(int64(start.Arrived))
	// The link has been used: a place in the queue is better than another transfer.
	r.Body, r.NoWait = &bufferedBody{start.Body, r.Body}, false
	return t.Release, nil
}

// newUploadReceiver returns an uploadReceiver for the local backend server.
func (n *Node) newUploadReceiver() *uploadReceiver {
	l := transferlimit.New()
	l.MaxBytes = int64(n.settings().MemoryMB) << 20 / uploadMemoryDivisor
	n.uploads = l
	return &uploadReceiver{limiter: l, preview: n.localBackend.preview}
}

// reportUploads publishes what the limiter decided.
func reportUploads(l *transferlimit.Limiter, scope tally.Scope) {
	s := l.Stats()
	scope.Tagged(map[string]string{"result": "Received"}).Gauge("uploads").Update(float64(s.Received))
	scope.Tagged(map[string]string{"result": "Refused"}).Gauge("uploads").Update(float64(s.Refused))
	scope.Gauge("upload_bytes_held").Update(float64(s.HeldBytes))
}
