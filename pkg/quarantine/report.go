package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxRequests bounds the requests of one report.
	MaxRequests = 64
	// maxNameBytes bounds the names of zone and instance.
	maxNameBytes = 256
)

// A Report states that an instance crashed and which requests were running on it.
// Only Answered changes later, and FailedTrials if the report came without it.
type Report struct {
	// ID is random. It is the same at all nodes.
	ID       uint64
	Zone     string
	Instance string
	// At is the time of the crash by the local clock.
	At time.Time
	// Requests has at most MaxRequests entries and no fingerprint twice, except the
	// zero one.
	Requests []Fingerprint
	// Prefixes holds the prefix of each of Requests, zero for one without a body.
	Prefixes []Fingerprint
	// Answered has bit i set once an instance has answered Requests[i] after this
	// report, or once the crash is older than ReportLife and Requests[i] was not on
	// trial. Bits are never reset.
	Answered uint64
	// FailedTrials is the number of failed trials of Requests[0], of which this crash
	// is the last, at most MaxTrials. It is 0 if no request was on trial.
	FailedTrials uint8
}

// life returns how long the report is kept.
func (r *Report) life() time.Duration {
	if r.FailedTrials == 0 {
		return ReportLife
	}
	return refusal(r.FailedTrials) + ReportLife
}

// failedTrials returns the number of failed trials of a request that the report states.
func (r *Report) failedTrials(f Fingerprint) uint8 {
	if r.Requests[0] != f {
		return 0
	}
	return r.FailedTrials
}

// allAnswered reports whether no request is suspected because of this report.
func (r *Report) allAnswered() bool { return r.Answered == answerable(len(r.Requests)) }

// open reports whether request i has not been answered since.
func (r *Report) open(i int) bool { return r.Answered&(1<<i) == 0 }

// answerable returns the mask of the bits that n requests use.
func answerable(n int) uint64 { return ^uint64(0) >> (MaxRequests - n) }

// A Digest names a report and its marks, so that nodes can compare their tables.
type Digest struct {
	ID       uint64 `cbor:"1,keyasint"`
	Answered uint64 `cbor:"2,keyasint,omitempty"`
}

func (r *Report) digest() Digest { return Digest{ID: r.ID, Answered: r.Answered} }

// hash returns the part that the report has in Table.Hash.
func (d Digest) hash() uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], d.ID)
	binary.LittleEndian.PutUint64(b[8:], d.Answered)
	return xxhash.Sum64(b[:])
}

// A WireReport is a Report as nodes send it to each other. With no more than ID and
// Answered it has only marks, for a node that knows the report; others ignore it.
type WireReport struct {
	ID       uint64 `cbor:"1,keyasint"`
	Zone     string `cbor:"2,keyasint,omitempty"`
	Instance string `cbor:"3,keyasint,omitempty"`
	// AgeMs is the age of the crash when the message was sent, so that the clocks
	// of nodes need not agree.
	AgeMs int64 `cbor:"4,keyasint,omitempty"`
	// Requests and Prefixes hold the fingerprints one after the other. Prefixes is
	// empty if no request has a body.
	Requests []byte `cbor:"5,keyasint,omitempty"`
	Prefixes []byte `cbor:"6,keyasint,omitempty"`
	Answered uint64 `cbor:"7,keyasint,omitempty"`
	// FailedTrials is missing in the reports of earlier builds, which also drop it when
	// they pass a report on.
	FailedTrials uint8 `cbor:"8,keyasint,omitempty"`
}

// wire returns the report as it is sent at a time.
func (r *Report) wire(now time.Time) WireReport {
	w := WireReport{
		ID: r.ID, Zone: r.Zone, Instance: r.Instance, Answered: r.Answered,
		AgeMs: max(0, now.Sub(r.At).Milliseconds()), Requests: pack(r.Requests), FailedTrials: r.FailedTrials,
	}
	if slices.ContainsFunc(r.Prefixes, func(p Fingerprint) bool { return !p.IsZero() }) {
		w.Prefixes = pack(r.Prefixes)
	}
	return w
}

// hasOnlyMarks reports whether w has no more than ID and Answered.
func (w *WireReport) hasOnlyMarks() bool {
	return w.Answered != 0 && w.Zone == "" && w.Instance == "" && w.AgeMs == 0 && len(w.Requests) == 0 && len(w.Prefixes) == 0 && w.FailedTrials == 0
}

// marks returns the marks of the report alone.
func (r *Report) marks() WireReport { return WireReport{ID: r.ID, Answered: r.Answered} }

// report returns the report that arrives at a time, without requests if there are only
// marks. The error is of type BadReport.
func (w *WireReport) report(now time.Time) (*Report, error) {
	if w.hasOnlyMarks() {
		return &Report{ID: w.ID, Answered: w.Answered}, nil
	}
	if err := w.check(); err != nil {
		return nil, err
	}
	r := &Report{
		ID: w.ID, Zone: w.Zone, Instance: w.Instance, Answered: w.Answered,
		At: now.Add(-w.age()), Requests: unpack(w.Requests), FailedTrials: w.FailedTrials,
	}
	if r.FailedTrials > 0 && r.Requests[0].IsZero() {
		return nil, BadReport.New("report %x has a failed trial of a request without a fingerprint", w.ID)
	}
	r.Prefixes = unpack(w.Prefixes)
	if r.Prefixes == nil {
		r.Prefixes = make([]Fingerprint, len(r.Requests))
	}
	known := map[Fingerprint]bool{}
	for i, f := range r.Requests {
		switch {
		case known[f]:
			return nil, BadReport.New("report %x has the request %s twice", w.ID, f)
		case f.IsZero() && r.Prefixes[i].IsZero():
			return nil, BadReport.New("report %x has a request without a fingerprint and a prefix", w.ID)
		}
		known[f] = !f.IsZero()
	}
	return r, nil
}

// age returns the age of the crash. Everything beyond the longest life is the same.
func (w *WireReport) age() time.Duration {
	return time.Duration(min(w.AgeMs, (MaxRefuseFor+ReportLife).Milliseconds())) * time.Millisecond
}

// check checks what does not need the fingerprints.
func (w *WireReport) check() error {
	n := len(w.Requests) / len(Fingerprint{})
	switch {
	case len(w.Zone) > maxNameBytes, len(w.Instance) > maxNameBytes:
		return TooLarge.New("report %x has a name of %d bytes", w.ID, max(len(w.Zone), len(w.Instance)))
	case n > MaxRequests:
		return TooLarge.New("report %x has %d requests, the limit is %d", w.ID, n, MaxRequests)
	case n == 0, len(w.Requests)%len(Fingerprint{}) != 0:
		return BadReport.New("report %x has %d bytes of requests", w.ID, len(w.Requests))
	case len(w.Prefixes) != 0 && len(w.Prefixes) != len(w.Requests):
		return BadReport.New("report %x has %d bytes of prefixes for %d of requests", w.ID, len(w.Prefixes), len(w.Requests))
	case w.AgeMs < 0:
		return BadReport.New("report %x has the age %d ms", w.ID, w.AgeMs)
	case w.FailedTrials > MaxTrials:
		return BadReport.New("report %x has %d failed trials, the limit is %d", w.ID, w.FailedTrials, MaxTrials)
	case w.Answered&^answerable(n) != 0:
		return BadReport.New("report %x marks more than its %d requests as answered", w.ID, n)
	}
	return nil
}

// pack returns the bytes of all fingerprints.
func pack(all []Fingerprint) []byte {
	b := make([]byte, 0, len(all)*len(Fingerprint{}))
	for _, f := range all {
		b = append(b, f[:]...)
	}
	return b
}

// unpack reverses pack. It returns nil for no bytes.
func unpack(b []byte) []Fingerprint {
	if len(b) == 0 {
		return nil
	}
	all := make([]Fingerprint, len(b)/len(Fingerprint{}))
	for i := range all {
		copy(all[i][:], b[i*len(Fingerprint{}):])
	}
	return all
}
