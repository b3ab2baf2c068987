package http1

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"quetzaldock.example/quetzaldock/pkg/memorybudget"
)

// The limits that this package decides about, besides those of package memorybudget.
const (
	// HeaderFields is the number of fields of one header.
	HeaderFields memorybudget.Limit = "HeaderFields"
	// Pipelined is the number of requests that a client sends in a row before it has
	// the response to the one before.
	Pipelined memorybudget.Limit = "Pipelined"
	// BodyBytes is the size of a body.
	BodyBytes memorybudget.Limit = "BodyBytes"
)

const (
	// ConnectionBytes is what an open connection takes: about 18 KB for the buffers
	// and the goroutine of net/http, and the state that this package keeps.
	ConnectionBytes = 20 << 10
	// fieldBytes and headerFactor are what each field and each byte of a header take
	// once they are parsed. A map that grows holds its entries twice for a moment.
	fieldBytes   = 200
	headerFactor = 2
	// maxShortBytes is the largest header or body, as it is accounted for, that counts as
	// short. Short requests are served beside clients that fill the memory with others.
	maxShortBytes = 12 << 10
	// reserveWait is how long a request waits for memory until other connections have
	// been closed.
	reserveWait = 100 * time.Millisecond
	// writeBytes is the size of the parts in which a response is written, each of
	// which has the time LimitValues.ReadTime.
	writeBytes = 64 << 10
	// refusalTimeout bounds the time to write a refusal to a connection.
	refusalTimeout = 100 * time.Millisecond
)

// Limits bound what the clients of one Server may use.
type Limits struct {
	// Group accounts for the connections.
	Group *memorybudget.Group
	// Values holds the current values. They may be replaced while the server runs.
	Values atomic.Pointer[LimitValues]
	// RequestBytes is what a running request takes besides its header and body.
	RequestBytes int64
	// Refuse, if set, writes the response to a request that is refused before it ran.
	Refuse func(w http.ResponseWriter, r *http.Request, status int, reason memorybudget.Limit)
	// OnLimit is called for each refused or closed connection with the address of its
	// client.
	OnLimit func(reason memorybudget.Limit, address string)
}

// LimitValues are the values of limits. Zero sets no limit.
type LimitValues struct {
	// HeaderFields is the number of fields of a header, Pipelined that of requests in a
	// row that are sent ahead.
	HeaderFields, Pipelined int
	// NewTime is the time for the first byte of a connection, HeaderTime for a header.
	NewTime, HeaderTime time.Duration
	// BodyTime and ReadTime are the times for one part of a body and of a response.
	BodyTime, ReadTime time.Duration
}

// Sweep closes the connections whose clients exceed a time limit.
func (l *Limits) Sweep() {
	v := l.values()
	l.Group.Sweep(memorybudget.TimeLimits{New: v.NewTime, Header: v.HeaderTime, Body: v.BodyTime, Read: v.ReadTime})
}

func (l *Limits) values() *LimitValues {
	if v := l.Values.Load(); v != nil {
		return v
	}
	return &LimitValues{}
}

func (l *Limits) report(reason memorybudget.Limit, address string) {
	if l.OnLimit != nil {
		l.OnLimit(reason, address)
	}
}

// refuse answers a request that was not run and closes its connection.
func (l *Limits) refuse(w http.ResponseWriter, r *http.Request, status int, reason memorybudget.Limit) {
	w.Header().Set("Connection", "close")
	c := http.NewResponseController(w)
	if r.ContentLength != 0 {
		// net/http would read the rest of the body before the response.
		_ = c.EnableFullDuplex()
	}
	if l.Refuse != nil {
		l.Refuse(w, r, status, reason)
	} else {
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(status)
	}
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

// Reserve reserves n bytes until the end of the request with the context. It reports
// false if memory is short, and true for a request of a Server without limits.
func Reserve(ctx context.Context, n int64) bool {
	c, ok := ctx.Value(serverConnKey{}).(*serverNetConn)
	if !ok || c.share == nil {
		return true
	}
	reserve := c.share.Reserve
	if n > maxShortBytes {
		reserve = c.share.ReserveBulk
	}
	if !reserve(n, reserveWait) {
		c.server.Limits.report(memorybudget.Memory, c.address())
		return false
	}
	c.requestHeld.Add(n)
	return true
}

// headerBytes returns what a header of n bytes with the given number of lines takes.
func headerBytes(n, lines int) int64 {
	return int64(n)*headerFactor + int64(lines)*fieldBytes
}
