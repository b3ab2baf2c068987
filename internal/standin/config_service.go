package standin

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

// DefaultMaxReadsPerSecond is the capacity of the platform's configuration
// service, in reads a second of all its readers together.
const DefaultMaxReadsPerSecond = 2000

// A ReadFault selects how the configuration service fails its readers.
type ReadFault string

// The faults of the configuration service.
const (
	// NoFault answers reads with the latest visible values.
	NoFault ReadFault = ""
	// RefuseConnections closes the listener and resets open connections.
	RefuseConnections ReadFault = "refuse"
	// FailReads answers every read with 500.
	FailReads ReadFault = "fail"
	// HangReads accepts reads and answers none until the fault ends.
	HangReads ReadFault = "hang"
	// ServeStale answers reads with the values of the moment the fault began.
	ServeStale ReadFault = "stale"
)

// A ConfigService imitates the platform's configuration service over HTTP:
//
//	GET /v1/values/KEY                      value with the header Revision, or 404
//	GET /v1/values/KEY?after=REV&wait_ms=N  waits up to N ms for a revision above REV;
//	                                        304 with the header Revision if none came
//
// Paths that begin with /views/NAME/v1/values/ answer in the same way, but with
// the value of that view if SetHostsForView wrote one. An experiment gives the
// readers of one availability zone a host list with addresses of proxies this way.
//
// A watch (the second form) of an absent key also waits, and then answers 404. All
// keys share one sequence of revisions. Reads above the capacity are answered
// with 429.
type ConfigService struct {
	// MaxReadsPerSecond limits the reads in any sliding second; 0 means no
	// limit.
	MaxReadsPerSecond int
	// VisibilityDelay is the time from a write until readers see it.
	VisibilityDelay time.Duration
	// Order applies to the next publications. InconsistentFor is how long
	// orders other than PartsFirst show an inconsistent state.
	Order           PublicationOrder
	InconsistentFor time.Duration

	// mu also guards the fields above once the service is started.
	// SetVisibilityDelay and SetPublicationOrder change them then.
	mu            sync.Mutex
	lastRevision  uint64
	hostsRevision uint64
	values        map[string]value // visible values by viewKey
	staleValues   map[string]value // copy of values that ServeStale answers with
	fault         ReadFault
	faultChanged  chan struct{} // closed when the fault changes
	valuesChanged chan struct{} // closed when a write becomes visible
	readCounts    ReadCounts
	recentReads   []time.Time // reads of the last second, oldest first
	address       string
	listener      *listener
	server        *http.Server
}

// A value is the visible value of a key, with the revision of its last write.
type value struct {
	bytes    []byte
	revision uint64
}

// NewConfigService returns a configuration service without values. It can be
// read over HTTP after Start.
func NewConfigService() *ConfigService {
	return &ConfigService{
		MaxReadsPerSecond: DefaultMaxReadsPerSecond,
		values:            map[string]value{},
		faultChanged:      make(chan struct{}),
		valuesChanged:     make(chan struct{}),
	}
}

// Start listens on a free loopback port.
func (c *ConfigService) Start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.address = "127.0.0.1:0"
	return c.listenLocked()
}

func (c *ConfigService) listenLocked() error {
	l, err := listen(c.address, 0, 0)
	if err != nil {
		return err
	}
	c.address = l.Addr().String()
	c.listener = l
	c.server = &http.Server{Handler: http.HandlerFunc(c.serve)}
	go func(s *http.Server) { _ = s.Serve(l) }(c.server)
	return nil
}

func (c *ConfigService) stopListeningLocked() {
	if c.listener == nil {
		return
	}
	_ = c.listener.Listener.Close()
	c.listener.resetAll()
	_ = c.server.Close()
	c.listener = nil
}

// Close stops the service and resets its connections.
func (c *ConfigService) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.faultChanged)
	c.faultChanged = make(chan struct{})
	c.stopListeningLocked()
}

// Address returns the IP address and port of the service.
func (c *ConfigService) Address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.address
}

// URL returns the base URL of the service, without a trailing slash.
func (c *ConfigService) URL() string { return "http://" + c.Address() }

// Set writes one value.
func (c *ConfigService) Set(key string, value []byte) error {
	return c.write(map[string][]byte{key: value}, c.visibilityDelay())
}

// SetHosts writes the host list, with the next revision of host lists.
func (c *ConfigService) SetHosts(l hosts.List) error { return c.SetHostsForView("", l) }

// SetHostsForView writes the host list of one view, or the host list of all
// readers without a list of their own if view is empty.
func (c *ConfigService) SetHostsForView(view string, l hosts.List) error {
	c.mu.Lock()
	c.hostsRevision++
	l.Revision = c.hostsRevision
	c.mu.Unlock()
	b, err := toml.Marshal(l)
	if err != nil {
		return BadValue.Wrap(err, "cannot encode the host list")
	}
	return c.Set(viewKey(view, "hosts"), b)
}

// viewKey returns the key in ConfigService.values of a key in a view. It joins
// both with a line break, which no published key contains.
func viewKey(view, key string) string {
	if view == "" {
		return key
	}
	return view + "\n" + key
}

func (c *ConfigService) visibilityDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.VisibilityDelay
}

// SetVisibilityDelay delays the visibility of later writes.
func (c *ConfigService) SetVisibilityDelay(delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.VisibilityDelay = delay
}

// write gives the values the next revision and makes them visible after the
// delay.
func (c *ConfigService) write(values map[string][]byte, delay time.Duration) error {
	for k, b := range values {
		if len(b) > config.MaxValueBytes {
			return BadValue.New("value %s has %d bytes, the limit is %d", k, len(b), config.MaxValueBytes)
		}
	}
	c.mu.Lock()
	c.lastRevision++
	rev := c.lastRevision
	c.mu.Unlock()
	if delay <= 0 {
		c.makeVisible(values, rev)
		return nil
	}
	time.AfterFunc(delay, func() { c.makeVisible(values, rev) })
	return nil
}

// makeVisible shows written values to readers, except where a later write of
// the same key is already visible.
func (c *ConfigService) makeVisible(in map[string][]byte, rev uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, b := range in {
		if c.values[k].revision < rev {
			c.values[k] = value{bytes: append([]byte(nil), b...), revision: rev}
		}
	}
	close(c.valuesChanged)
	c.valuesChanged = make(chan struct{})
}

// SetReadFault begins a fault and ends the one before it.
func (c *ConfigService) SetReadFault(f ReadFault) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = f
	c.staleValues = nil
	close(c.faultChanged)
	c.faultChanged = make(chan struct{})
	if f == ServeStale {
		c.staleValues = map[string]value{}
		for k, v := range c.values {
			c.staleValues[k] = v
		}
	}
	if f == RefuseConnections {
		c.stopListeningLocked()
		return nil
	}
	if c.listener == nil {
		return c.listenLocked()
	}
	return nil
}

func (c *ConfigService) serve(w http.ResponseWriter, r *http.Request) {
	view, rest := "", r.URL.Path
	if v, ok := strings.CutPrefix(rest, "/views/"); ok {
		view, rest, _ = strings.Cut(v, "/")
		rest = "/" + rest
	}
	key, ok := strings.CutPrefix(rest, "/v1/values/")
	if !ok || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	if !c.recordRead(key) {
		http.Error(w, "capacity exceeded", http.StatusTooManyRequests)
		return
	}
	after, wait := parseWatch(r)
	deadline := time.Now().Add(wait)
	for {
		v, fault, valuesChanged, faultChanged := c.lookUp(view, key)
		switch {
		case fault == FailReads:
			http.Error(w, "internal error", http.StatusInternalServerError)
			return
		case fault == HangReads:
			if !waitForChange(r.Context(), faultChanged, nil, 0) {
				return
			}
		case v.revision > after:
			w.Header().Set("Revision", strconv.FormatUint(v.revision, 10))
			w.Header().Set("Content-Length", strconv.Itoa(len(v.bytes)))
			_, _ = w.Write(v.bytes)
			return
		case time.Now().Before(deadline):
			if !waitForChange(r.Context(), faultChanged, valuesChanged, time.Until(deadline)) {
				return
			}
		case v.revision == 0:
			http.NotFound(w, r)
			return
		default:
			w.Header().Set("Revision", strconv.FormatUint(v.revision, 10))
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

// parseWatch returns the query parameters of a watch, or zeros for a plain read.
func parseWatch(r *http.Request) (after uint64, wait time.Duration) {
	q := r.URL.Query()
	after, _ = strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	return after, time.Duration(max(0, ms)) * time.Millisecond
}

// lookUp returns the value that a reader of the view sees, the present fault, and
// the channels that are closed when values or the fault change.
func (c *ConfigService) lookUp(view, key string) (v value, f ReadFault, valuesChanged, faultChanged chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	values := c.values
	if c.fault == ServeStale {
		values = c.staleValues
	}
	v, ok := values[viewKey(view, key)]
	if !ok {
		v = values[key]
	}
	return v, c.fault, c.valuesChanged, c.faultChanged
}

// waitForChange returns true once one of the channels is closed or d has passed
// (0 means no limit), and false if the context ends before.
func waitForChange(ctx context.Context, a, b <-chan struct{}, d time.Duration) bool {
	var timeout <-chan time.Time
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		timeout = t.C
	}
	select {
	case <-a:
	case <-b:
	case <-timeout:
	case <-ctx.Done():
		return false
	}
	return true
}
