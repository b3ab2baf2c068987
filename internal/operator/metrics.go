package operator

import (
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/HdrHistogram/hdrhistogram-go"
	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const (
	// maxSeries bounds the histograms: 64 accounts with 32 routes each.
	// Further ones are counted as "other".
	maxSeries = 2048
	// highestUs is the largest latency told apart, one minute.
	highestUs = 60_000_000
	// digits is the precision of a histogram in decimal digits. With two each
	// would take 20 KB, and a node may hold some hundred.
	digits = 1
	// reportInterval is how often tally hands its values on.
	reportInterval = time.Second
)

// Metrics counts the calls of a node by account, route and status, with a
// histogram for each account and route.
type Metrics struct {
	scope    tally.Scope
	closer   func() error
	reporter prometheus.Reporter

	mu     sync.Mutex
	series map[seriesKey]*series
}

type seriesKey struct{ account, route string }

// A series is the latencies of one account and route.
type series struct {
	hdr     *hdrhistogram.Histogram
	seconds tally.Histogram
	calls   map[callKey]tally.Counter
	scope   tally.Scope
}

type callKey struct {
	status  int
	refused string
}

// NewMetrics returns empty metrics whose text exposition Handler serves.
func NewMetrics() *Metrics {
	// A registry of its own lets several nodes run in one process.
	g := client.NewRegistry()
	r := prometheus.NewReporter(prometheus.Options{Registerer: g, Gatherer: g, OnRegisterError: func(error) {}})
	s, c := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "quetzaldock", CachedReporter: r, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: sanitizer(), OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: s, closer: c.Close, reporter: r, series: map[seriesKey]*series{}}
}

// sanitizer keeps the values of labels as they are: accounts and routes may
// differ in any printable character.
func sanitizer() *tally.SanitizeOptions {
	o := prometheus.DefaultSanitizerOpts
	o.ValueCharacters = tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', '~'}, {0xA0, utf8.MaxRune}}}
	return &o
}

// Close stops the reporter.
func (m *Metrics) Close() error { return m.closer() }

// Handler serves the metrics as text.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Scope returns the scope for other counters of the node.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Observe counts one answered call. refused is the reason of a refusal as not
// run, or "".
func (m *Metrics) Observe(account, route string, status int, refused string, latency time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.find(account, route)
	_ = s.hdr.RecordValue(min(max(1, latency.Microseconds()), highestUs))
	s.seconds.RecordDuration(latency)
	s.counter(status, refused).Inc(1)
}

func (m *Metrics) find(account, route string) *series {
	k := seriesKey{account, route}
	if s := m.series[k]; s != nil {
		return s
	}
	if len(m.series) >= maxSeries {
		k = seriesKey{"other", "other"}
		if s := m.series[k]; s != nil {
			return s
		}
	}
	scope := m.scope.Tagged(map[string]string{"account": k.account, "route": k.route})
	s := &series{
		hdr: hdrhistogram.New(1, highestUs, digits), scope: scope, calls: map[callKey]tally.Counter{},
		seconds: scope.Histogram("call_seconds", tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 16)),
	}
	m.series[k] = s
	return s
}

func (s *series) counter(status int, refused string) tally.Counter {
	k := callKey{status, refused}
	c := s.calls[k]
	if c == nil {
		c = s.scope.Tagged(map[string]string{"status": strconv.Itoa(status), "refused": refused}).Counter("calls")
		s.calls[k] = c
	}
	return c
}

// Latencies summarizes all histograms, sorted by account and route.
func (m *Metrics) Latencies() []LatencyStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]LatencyStatus, 0, len(m.series))
	for k, s := range m.series {
		out = append(out, LatencyStatus{
			Account: k.account, Route: k.route, Count: s.hdr.TotalCount(),
			P50Us: s.hdr.ValueAtQuantile(50), P99Us: s.hdr.ValueAtQuantile(99),
			P999Us: s.hdr.ValueAtQuantile(99.9), MaxUs: s.hdr.Max(),
		})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Account != out[j].Account {
			return out[i].Account < out[j].Account
		}
		return out[i].Route < out[j].Route
	})
	return out
}
