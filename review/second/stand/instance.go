package stand

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Heartbeat is the time between two entries that an instance writes.
const Heartbeat = 1500 * time.Millisecond

// A Run is one request at which an instance began to work.
type Run struct {
	At       time.Time
	ID       string
	Instance string
	Tenant   string
	Method   string
	// Target and Host are those of the request line and header as they arrived.
	Target, Host string
	Body         string
}

// A RunLog holds all runs at all instances.
type RunLog struct {
	mu   sync.Mutex
	runs []Run
}

func (l *RunLog) add(r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// All returns the runs so far.
func (l *RunLog) All() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

// An Instance is one application instance. Its exported fields are set before Start,
// apart from those that its methods set.
type Instance struct {
	ID, Service, Zone, Address string
	Slots                      int
	// Work is how long a request takes.
	Work     time.Duration
	Store    *Store
	Runs     *RunLog
	Recorder *Recorder
	// ClockOffset returns how far the time of day of its machine is ahead of the true
	// time.
	ClockOffset func() time.Duration
	// SpoilEvery lets each so many'th answer break off, zero for none: the instance answers
	// before it has read the body, without a length, and resets the connection after half
	// of the answer.
	SpoilEvery atomic.Int64

	server   *http.Server
	listener net.Listener
	running  atomic.Int64
	served   atomic.Int64
	stopBeat context.CancelFunc
	beats    sync.WaitGroup

	mu       sync.Mutex
	state    string
	sequence uint64
	born     int64
	// lateBy is by how much the store does the next beat late, zero for not.
	lateBy time.Duration
	// lateSent is closed when that beat is sent.
	lateSent chan struct{}
}

// Start starts a new incarnation, which listens and writes its entry.
func (i *Instance) Start() error {
	l, err := net.Listen("tcp", i.Address)
	if err != nil {
		return err
	}
	i.listener, i.server = l, &http.Server{Handler: http.HandlerFunc(i.serve)}
	i.mu.Lock()
	i.state, i.sequence, i.born = "ready", 0, time.Now().Add(i.ClockOffset()).UnixMilli()
	i.mu.Unlock()
	i.Recorder.Printf("instance %s starts, born %d", i.ID, i.born)
	ctx, cancel := context.WithCancel(context.Background())
	i.stopBeat = cancel
	server := i.server
	go func() { _ = server.Serve(l) }()
	i.write()
	i.beats.Go(func() {
		t := time.NewTicker(Heartbeat)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				if !i.writeLate() {
					i.write()
				}
			}
		}
	})
	return nil
}

// Crash ends the process of the instance. Its entry stays.
func (i *Instance) Crash() {
	i.stopBeat()
	i.beats.Wait()
	_ = i.server.Close()
	i.Recorder.Printf("instance %s has ended", i.ID)
}

// Drain reports that the instance is draining. The return is the acknowledgement.
func (i *Instance) Drain() {
	i.mu.Lock()
	i.state = "draining"
	i.mu.Unlock()
	i.write()
	i.Recorder.Printf("instance %s: draining is acknowledged", i.ID)
}

// Leave ends an instance that has drained, after its running requests, and removes its
// entry.
func (i *Instance) Leave() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	_ = i.server.Shutdown(ctx)
	cancel()
	i.Crash()
	i.Store.Delete("servers/" + i.ID)
	i.Recorder.Printf("entry of %s is removed", i.ID)
}

// write writes the entry.
func (i *Instance) write() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.Store.Put("servers/"+i.ID, i.nextEntry())
}

// nextEntry returns the next entry. The caller holds the mutex.
func (i *Instance) nextEntry() map[string]any {
	i.sequence++
	return map[string]any{
		"address": i.Address, "born": i.born,
		"info":   map[string]any{"service": i.Service, "version": "v1", "zone": i.Zone, "slots": i.Slots},
		"status": map[string]any{"state": i.state, "sequence": i.sequence, "coldRemainingS": 0},
	}
}

// DelayNextBeat lets the store do the next beat late by d, and returns once the beat is
// sent. The instance gets no answer to it and goes on with its beats.
func (i *Instance) DelayNextBeat(d time.Duration) {
	sent := make(chan struct{})
	i.mu.Lock()
	i.lateBy, i.lateSent = d, sent
	i.mu.Unlock()
	<-sent
}

// writeLate writes the entry late if that was asked for.
func (i *Instance) writeLate() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.lateBy == 0 {
		return false
	}
	e, sequence, d := i.nextEntry(), i.sequence, i.lateBy
	i.lateBy = 0
	i.Recorder.Printf("instance %s writes sequence %d, which the store does %s later", i.ID, sequence, d)
	time.AfterFunc(d, func() {
		i.Store.Put("servers/"+i.ID, e)
		i.Recorder.Printf("the store has done the write of %s with sequence %d", i.ID, sequence)
	})
	close(i.lateSent)
	return true
}

func (i *Instance) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Quetzaldock-Instance-Load", fmt.Sprintf("%d,0,%d", i.running.Load(), i.Slots))
	id := r.Header.Get("Quetzaldock-Request-Id")
	if id != "" {
		h.Set("Quetzaldock-Request-Id", id)
	}
	if r.URL.Path == "/health" {
		i.mu.Lock()
		state := i.state
		i.mu.Unlock()
		h.Set("Quetzaldock-Instance-Id", i.ID)
		if state != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	expected := r.Header.Get("Quetzaldock-Expected-Instance")
	switch {
	case id == "":
		h.Set("Quetzaldock-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case expected != "" && expected != i.ID:
		h.Set("Quetzaldock-Not-Executed", "1")
		h.Set("Quetzaldock-Instance-Id", i.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case i.running.Add(1) > int64(i.Slots):
		i.running.Add(-1)
		h.Set("Quetzaldock-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer i.running.Add(-1)
	began := time.Now()
	if n := i.SpoilEvery.Load(); n > 0 && i.served.Add(1)%n == 0 {
		i.Recorder.Printf("instance %s answers %s early and breaks off", i.ID, id)
		i.breakOff(w, id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run := Run{
		At: began, ID: id, Instance: i.ID, Tenant: r.Header.Get("Quetzaldock-Tenant"),
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Body: string(body),
	}
	i.Runs.add(run)
	i.Recorder.Printf("instance %s runs %s: %s %s, host %s, tenant %q", i.ID, id, r.Method, r.RequestURI, r.Host, run.Tenant)
	select {
	case <-time.After(i.Work):
	case <-r.Context().Done():
		return
	}
	answer := Body(i.ID, id)
	h.Set("Quetzaldock-Server-Signature", Signature(i.ID, id))
	h.Set("Content-Type", "text/plain")
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// breakOff sends half of an answer without a length and resets the connection.
func (i *Instance) breakOff(w http.ResponseWriter, id string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	answer := Body(i.ID, id)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nQuetzaldock-Request-Id: %s\r\nQuetzaldock-Server-Signature: %s\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n%s", id, Signature(i.ID, id), answer[:len(answer)/2])
	if t, ok := c.(*net.TCPConn); ok {
		// The close is then a reset in any case, not only while bytes are unread.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Body is the whole body of an instance's answer to a request.
func Body(instance, id string) string {
	return strings.Repeat("answer of "+instance+" to "+id+"\n", 20)
}

// Signature is the signature of an instance's answer to a request.
func Signature(instance, id string) string { return instance + "." + id }
