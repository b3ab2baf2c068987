package stand

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Names of the headers of the users' pages.
const (
	HeaderRequestID  = "Quetzaldock-Request-Id"
	HeaderDeadline   = "Quetzaldock-Deadline-Ms"
	HeaderKey        = "Quetzaldock-Credential"
	HeaderSignature  = "Quetzaldock-Server-Signature"
	HeaderNotRun     = "Quetzaldock-Not-Executed"
	HeaderExpected   = "Quetzaldock-Expected-Instance"
	HeaderInstanceID = "Quetzaldock-Instance-Id"
	HeaderLoad       = "Quetzaldock-Instance-Load"
	HeaderColdMs     = "Quetzaldock-Cold-Ms"
	HeaderTenant     = "Quetzaldock-Tenant"
	HeaderCaller     = "Quetzaldock-Caller-Service"
)

// A Run is one request that an instance began to work on.
type Run struct {
	At                    time.Time
	ID, Instance          string
	Method, Host, Target  string
	Tenant, CallerService string
	Body                  []byte
}

// An Instance is one application instance.
type Instance struct {
	ID, Service, Zone, Address string
	Slots                      int
	// Born is the Unix millisecond of the start.
	Born             int64
	Work, HealthWork time.Duration
	// Extra reports whether the answer to a request is sent once more, at the point
	// where the next answer on its connection is expected.
	Extra func() bool
	// OnRun is called for each request that runs, OnEvent with a line for the record.
	OnRun   func(Run)
	OnEvent func(text string)
	// ColdUntil is the time until which the instance is cold, in Unix nanoseconds.
	ColdUntil atomic.Int64

	slots    chan struct{}
	waiting  atomic.Int64
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	ended    bool
	count    atomic.Int64
}

// Start listens at the address of the instance.
func (i *Instance) Start() error {
	l, err := net.Listen("tcp", i.Address)
	if err != nil {
		return err
	}
	i.mu.Lock()
	i.listener, i.slots, i.conns, i.ended = l, make(chan struct{}, i.Slots), map[net.Conn]bool{}, false
	i.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			i.mu.Lock()
			if i.ended {
				i.mu.Unlock()
				_ = c.Close()
				return
			}
			i.conns[c] = true
			i.mu.Unlock()
			go i.serve(c)
		}
	}()
	return nil
}

// Stop closes the listener and all connections, as at a crash.
func (i *Instance) Stop() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ended = true
	if i.listener != nil {
		_ = i.listener.Close()
	}
	for c := range i.conns {
		_ = c.Close()
	}
}

// Entry returns what the instance says of itself in the store.
func (i *Instance) Entry(state string, sequence int) map[string]any {
	cold := max(0, time.Until(time.Unix(0, i.ColdUntil.Load())).Seconds())
	return map[string]any{
		"address": i.Address, "born": i.Born,
		"info":   map[string]any{"service": i.Service, "version": "v1", "zone": i.Zone, "slots": i.Slots},
		"status": map[string]any{"state": state, "sequence": sequence, "coldRemainingS": cold},
	}
}

func (i *Instance) event(format string, args ...any) {
	if i.OnEvent != nil {
		i.OnEvent(fmt.Sprintf(format, args...))
	}
}

// idleTimeout is how long a connection may stay idle.
const idleTimeout = 10 * time.Second

func (i *Instance) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		i.mu.Lock()
		delete(i.conns, c)
		i.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	var extra []byte
	var extraOf string
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if extra != nil {
			i.event("instance %s sends the answer to %s once more, where that to %s %s is expected", i.ID, extraOf, r.RequestURI, r.Header.Get(HeaderRequestID))
			if _, err := c.Write(extra); err != nil {
				return
			}
			extra = nil
		}
		answer := i.answer(r, body)
		if _, err := c.Write(answer); err != nil {
			return
		}
		if r.URL.Path != "/health" && i.Extra != nil && i.Extra() {
			extra, extraOf = answer, r.Header.Get(HeaderRequestID)
		}
	}
}

// answer runs a request and returns the bytes of its answer.
func (i *Instance) answer(r *http.Request, body []byte) []byte {
	h := http.Header{}
	if id := r.Header.Get(HeaderRequestID); id != "" {
		h.Set(HeaderRequestID, id)
	}
	if want := r.Header.Get(HeaderExpected); want != "" && want != i.ID {
		h.Set(HeaderInstanceID, i.ID)
		return format(http.StatusMisdirectedRequest, h, nil)
	}
	i.waiting.Add(1)
	i.slots <- struct{}{}
	i.waiting.Add(-1)
	defer func() { <-i.slots }()
	h.Set(HeaderLoad, strconv.Itoa(len(i.slots))+","+strconv.FormatInt(i.waiting.Load(), 10)+","+strconv.Itoa(i.Slots))
	if r.URL.Path == "/health" {
		time.Sleep(i.HealthWork)
		h.Set(HeaderInstanceID, i.ID)
		if left := time.Until(time.Unix(0, i.ColdUntil.Load())); left > 0 {
			h.Set(HeaderColdMs, strconv.FormatInt(left.Milliseconds(), 10))
		}
		return format(http.StatusOK, h, []byte("healthy\n"))
	}
	if r.Header.Get(HeaderRequestID) == "" {
		h.Set(HeaderNotRun, "1")
		return format(http.StatusBadRequest, h, nil)
	}
	if i.OnRun != nil {
		i.OnRun(Run{
			At: time.Now(), ID: r.Header.Get(HeaderRequestID), Instance: i.ID, Method: r.Method, Host: r.Host, Target: r.RequestURI,
			Tenant: r.Header.Get(HeaderTenant), CallerService: r.Header.Get(HeaderCaller), Body: body,
		})
	}
	time.Sleep(i.Work)
	n := i.count.Add(1)
	h.Set(HeaderSignature, i.ID+"."+strconv.FormatInt(n, 10))
	return format(http.StatusOK, h, []byte("done "+r.Header.Get(HeaderRequestID)+" by "+i.ID+"\n"))
}

func format(status int, h http.Header, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	_ = h.Write(&b)
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
