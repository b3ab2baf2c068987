package operator

import (
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/HdrHistogram/hdrhistogram-go"
	prometheusclient "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

const (
	// maxSeries bounds the number of series: 64 accounts with 32 routes each.
	// Calls of further accounts and routes are counted in one series "other".
	maxSeries = 2048
	// maxLatencyUs is the largest latency that histograms record, one minute.
	// Longer ones are recorded as this.
	maxLatencyUs = 60_000_000
	// significantDigits is the precision of a histogram in decimal digits. With
	// two, a histogram would take 20 KB, and a node may have several hundred.
	significantDigits = 1
	// tallyReportInterval is the time after which tally passes new values to the
	// Prometheus reporter.
	tallyReportInterval = time.Second
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

// A series holds the latencies and the counters of one account and route.
type series struct {
	latenciesUs *hdrhistogram.Histogram
	callSeconds tally.Histogram
	calls       map[callKey]tally.Counter
	scope       tally.Scope
}

// A callKey is the HTTP status of a call and the reason of a refusal.
type callKey struct {
	status  int
	refused string
}

// NewMetrics returns empty metrics. The caller must Close them.
func NewMetrics() *Metrics {
	// Each node has its own registry, so that several can run in one process.
	registry := prometheusclient.NewRegistry()
	tallyReporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry, OnRegisterError: func(error) {}})
	rootScope, rootCloser := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "quetzaldock", CachedReporter: tallyReporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: sanitizer(), OmitCardinalityMetrics: true,
	}, tallyReportInterval)
	return &Metrics{scope: rootScope, closer: rootCloser.Close, reporter: tallyReporter, series: map[seriesKey]*series{}}
}

// sanitizer returns options that keep all printable characters of label values,
// because names of accounts and routes may differ in any of them.
func sanitizer() *tally.SanitizeOptions {
	o := prometheus.DefaultSanitizerOpts
	o.ValueCharacters = tally.ValidCharacters{Ranges: []tally.SanitizeRange{{' ', '~'}, {0xA0, utf8.MaxRune}}}
	return &o
}

// Close stops the reporting of values.
func (m *Metrics) Close() error { return m.closer() }

// Handler serves the metrics in Prometheus' text format.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Scope returns the scope in which the node registers other metrics.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Observe counts one answered call and records its latency. refused is the reason
// if the call was refused without being run, and empty otherwise.
func (m *Metrics) Observe(account, route string, status int, refused string, latency time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.seriesFor(account, route)
	_ = s.latenciesUs.RecordValue(min(max(1, latency.Microseconds()), maxLatencyUs))
	s.callSeconds.RecordDuration(latency)
	s.callCounter(status, refused).Inc(1)
}

// seriesFor returns the series of the account and route, or the series "other" if
// there are too many.
func (m *Metrics) seriesFor(account, route string) *series {
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
		latenciesUs: hdrhistogram.New(1, maxLatencyUs, significantDigits), scope: scope, calls: map[callKey]tally.Counter{},
		callSeconds: scope.Histogram("call_seconds", tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 16)),
	}
	m.series[k] = s
	return s
}

func (s *series) callCounter(status int, refused string) tally.Counter {
	k := callKey{status, refused}
	c := s.calls[k]
	if c == nil {
		c = s.scope.Tagged(map[string]string{"status": strconv.Itoa(status), "refused": refused}).Counter("calls")
		s.calls[k] = c
	}
	return c
}

// Latencies summarizes the latencies of all series, sorted by account and route.
func (m *Metrics) Latencies() []LatencyStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]LatencyStatus, 0, len(m.series))
	for k, s := range m.series {
		out = append(out, LatencyStatus{
			Account: k.account, Route: k.route, Count: s.latenciesUs.TotalCount(),
			P50Us: s.latenciesUs.ValueAtQuantile(50), P99Us: s.latenciesUs.ValueAtQuantile(99),
			P999Us: s.latenciesUs.ValueAtQuantile(99.9), MaxUs: s.latenciesUs.Max(),
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
