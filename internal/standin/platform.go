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

// DefaultReadsPerSecond is the capacity of the platform's configuration
// service over all its readers.
const DefaultMaxReadsPerSecond = 2000

// A Fault is what is wrong with the configuration service.
type ReadFault string

// The faults of the configuration service.
const (
	// NoFault answers at once with the latest visible values.
	NoFault ReadFault = ""
	// Refuse closes the listener and resets open connections.
	RefuseConnections ReadFault = "refuse"
	// Fail answers every read with 500.
	FailReads ReadFault = "fail"
	// Hang accepts reads and never answers them.
	HangReads ReadFault = "hang"
	// Stale answers with the values of the moment the fault began.
	ServeStale ReadFault = "stale"
)

// A Platform imitates the platform's configuration service over HTTP:
//
//	GET /v1/values/KEY                      value with the header Revision, or 404
//	GET /v1/values/KEY?after=REV&wait_ms=N  waits up to N ms for a revision over REV;
//	                                        304 with the header Revision if none came
//
// The same under /views/NAME/v1/values answers with the values of a view where
// SetHostsOf set one, so that the readers of one zone can be given addresses of
// proxies.
//
// A watch of an absent key waits too and then answers 404. Revisions rise over
// all keys together. Reads over the capacity are answered with 429.
type ConfigService struct {
	// ReadsPerSecond is the capacity in any sliding second; 0 means no limit.
	MaxReadsPerSecond int
	// Lag delays the visibility of every write.
	VisibilityDelay time.Duration
	// Crossing and CrossedFor shape the next publications.
	Order           PublicationOrder
	InconsistentFor time.Duration

	// mu guards the fields above too once the platform is started; SetLag and
	// Cross change them then.
	mu       sync.Mutex
	revision uint64
	listRev  uint64
	values   map[string]value
	frozen   map[string]value
	fault    ReadFault
	faultEnd chan struct{} // closed when the fault changes
	changed  chan struct{} // closed at every visible write
	counts   ReadCounts
	recent   []time.Time // reads of the last second, oldest first
	address  string
	listener *listener
	server   *http.Server
}

type value struct {
	bytes    []byte
	revision uint64
}

// NewPlatform returns a platform without values. Start must be called before
// it is read over HTTP.
func NewConfigService() *ConfigService {
	return &ConfigService{
		MaxReadsPerSecond: DefaultMaxReadsPerSecond,
		values:            map[string]value{},
		faultEnd:          make(chan struct{}),
		changed:           make(chan struct{}),
	}
}

// Start listens on a free loopback port.
func (p *ConfigService) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.address = "127.0.0.1:0"
	return p.listenLocked()
}

func (p *ConfigService) listenLocked() error {
	l, err := listen(p.address, 0, 0)
	if err != nil {
		return err
	}
	p.address = l.Addr().String()
	p.listener = l
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve)}
	go func(s *http.Server) { _ = s.Serve(l) }(p.server)
	return nil
}

func (p *ConfigService) unlistenLocked() {
	if p.listener == nil {
		return
	}
	_ = p.listener.Listener.Close()
	p.listener.resetAll()
	_ = p.server.Close()
	p.listener = nil
}

// Close stops the platform and resets its connections.
func (p *ConfigService) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.faultEnd)
	p.faultEnd = make(chan struct{})
	p.unlistenLocked()
}

// Address is the IP address and port of the service.
func (p *ConfigService) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// URL is the base URL of the service, without a trailing slash.
func (p *ConfigService) URL() string { return "http://" + p.Address() }

// Set writes one value.
func (p *ConfigService) Set(key string, b []byte) error {
	return p.write(map[string][]byte{key: b}, p.lag())
}

// SetHosts writes the host list with the next list revision.
func (p *ConfigService) SetHosts(l hosts.List) error { return p.SetHostsForView("", l) }

// SetHostsOf writes the host list that one view shows.
func (p *ConfigService) SetHostsForView(view string, l hosts.List) error {
	p.mu.Lock()
	p.listRev++
	l.Revision = p.listRev
	p.mu.Unlock()
	b, err := toml.Marshal(l)
	if err != nil {
		return BadValue.Wrap(err, "cannot encode the host list")
	}
	return p.Set(viewKey(view, "hosts"), b)
}

// viewKey is where the values of views are kept; no published key has a line
// break.
func viewKey(view, key string) string {
	if view == "" {
		return key
	}
	return view + "\n" + key
}

func (p *ConfigService) lag() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.VisibilityDelay
}

// SetLag delays the visibility of later writes by d.
func (p *ConfigService) SetVisibilityDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.VisibilityDelay = delay
}

func (p *ConfigService) write(in map[string][]byte, after time.Duration) error {
	for k, b := range in {
		if len(b) > config.MaxValueBytes {
			return BadValue.New("value %s has %d bytes, the limit is %d", k, len(b), config.MaxValueBytes)
		}
	}
	p.mu.Lock()
	p.revision++
	rev := p.revision
	p.mu.Unlock()
	if after <= 0 {
		p.show(in, rev)
		return nil
	}
	time.AfterFunc(after, func() { p.show(in, rev) })
	return nil
}

// show makes a write visible unless a later write of the key already is.
func (p *ConfigService) show(in map[string][]byte, rev uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, b := range in {
		if p.values[k].revision < rev {
			p.values[k] = value{bytes: append([]byte(nil), b...), revision: rev}
		}
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetFault begins a fault and ends the one before it.
func (p *ConfigService) SetReadFault(f ReadFault) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.frozen = nil
	close(p.faultEnd)
	p.faultEnd = make(chan struct{})
	if f == ServeStale {
		p.frozen = map[string]value{}
		for k, v := range p.values {
			p.frozen[k] = v
		}
	}
	if f == RefuseConnections {
		p.unlistenLocked()
		return nil
	}
	if p.listener == nil {
		return p.listenLocked()
	}
	return nil
}

func (p *ConfigService) serve(w http.ResponseWriter, r *http.Request) {
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
	if !p.count(key) {
		http.Error(w, "capacity exceeded", http.StatusTooManyRequests)
		return
	}
	after, wait := watchOf(r)
	deadline := time.Now().Add(wait)
	for {
		v, fault, changed, faultEnd := p.look(view, key)
		switch {
		case fault == FailReads:
			http.Error(w, "internal error", http.StatusInternalServerError)
			return
		case fault == HangReads:
			if !waitFor(r.Context(), faultEnd, nil, 0) {
				return
			}
		case v.revision > after:
			w.Header().Set("Revision", strconv.FormatUint(v.revision, 10))
			w.Header().Set("Content-Length", strconv.Itoa(len(v.bytes)))
			_, _ = w.Write(v.bytes)
			return
		case time.Now().Before(deadline):
			if !waitFor(r.Context(), faultEnd, changed, time.Until(deadline)) {
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

func watchOf(r *http.Request) (after uint64, wait time.Duration) {
	q := r.URL.Query()
	after, _ = strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	return after, time.Duration(max(0, ms)) * time.Millisecond
}

func (p *ConfigService) look(view, key string) (v value, f ReadFault, changed, faultEnd chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	values := p.values
	if p.fault == ServeStale {
		values = p.frozen
	}
	v, ok := values[viewKey(view, key)]
	if !ok {
		v = values[key]
	}
	return v, p.fault, p.changed, p.faultEnd
}

// waitFor returns true when one of the channels closes or d has passed (0
// means no limit), and false when the reader left.
func waitFor(ctx context.Context, a, b <-chan struct{}, d time.Duration) bool {
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
