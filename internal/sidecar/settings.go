package sidecar

import (
	"bytes"
	"fmt"
	"log/slog"
	"reflect"
	"time"

	"github.com/joomcode/errorx"

	"quetzaldock.example/quetzaldock/internal/settings"
)

var namespace = errorx.NewNamespace("sidecar")

// ListenFailed means that an address could not be bound.
var ListenFailed = namespace.NewType("listen_failed")

// Settings configure one node. They are read at the start, periodically and on
// SIGHUP.
type Settings struct {
	// Host is the name of this host in logs.
	Host string
	// Service is the service of the backend server on this host. Requests that
	// begin on this host are made in its name.
	Service string
	// Zone is the availability zone of this host.
	Zone string
	// CallerAddress accepts requests of callers and of the local backend server.
	CallerAddress string
	// CallAddress accepts requests of other nodes for the local backend server.
	CallAddress string
	// ReadyAddress answers readiness checks of the deployment.
	ReadyAddress string
	// ControlAddress accepts control messages of other nodes. Its port is the
	// same on all hosts, like the port of CallAddress.
	ControlAddress string
	// OperatorAddress serves status and metrics. If it is empty, they are not
	// served.
	OperatorAddress string
	// BackendAddress is the address of the backend server on this host.
	BackendAddress string
	// PlatformURL is the base URL of the store that publishes configuration and
	// instances.
	PlatformURL string
	// FirstStart is set while the whole deployment starts for the first time. All nodes
	// then read the store at once, and instances are not published yet.
	FirstStart bool
	// MemoryMB is the memory that the process may use, in MiB.
	MemoryMB int
	// MaxConnections is the number of callers' connections above which idle ones
	// are closed.
	MaxConnections int
	// ClientLimits bound what clients may use. Zero fields have their defaults.
	ClientLimits ClientLimits
	// LogLevel is Debug, Info, Warn or Error.
	LogLevel string
	// Bounds are the limits that the deployment states, under the deployment's
	// own names. Values are numbers or booleans.
	Bounds map[string]any
}

// Bounds are the time limits and tolerances that a deployment states.
type Bounds struct {
	// StopTimeout is the time after which a process that was asked to stop is
	// killed.
	StopTimeout time.Duration
	// RetryRatio is the fraction of the requests for a service that may be
	// retries, over the whole fleet. RetryExtra more retries are allowed within
	// the deployment's window.
	RetryRatio float64
	RetryExtra float64
	// QuotaOverage is the fraction by which a client account may exceed its limit
	// over the whole fleet. QuotaSlack more requests are allowed within the
	// deployment's window.
	QuotaOverage float64
	QuotaSlack   float64
	// ColdOverage is the fraction by which a cold backend server may get more
	// requests per second than its service states.
	ColdOverage float64
	// ExpiryGrace is how long an entry that expired during an outage of the store
	// may take to return.
	ExpiryGrace time.Duration
	// MinOutage is the shortest outage of the store in which entries expire.
	MinOutage time.Duration
	// EntryLife is how long the store keeps the entry of an instance that does not
	// write it again.
	EntryLife time.Duration
}

// DefaultBounds returns the bounds that apply where a deployment states none.
func DefaultBounds() Bounds {
	return Bounds{
		StopTimeout: 6 * time.Second,
		RetryRatio:  0.2, RetryExtra: 62,
		QuotaOverage: 0.25, QuotaSlack: 20,
		ColdOverage: 0.5,
		ExpiryGrace: 2 * time.Second,
		MinOutage:   2 * time.Second,
		EntryLife:   4500 * time.Millisecond,
	}
}

// A SettingsFile reads settings that mostly stay the same.
type SettingsFile struct {
	Path string

	bytes  []byte
	parsed *Settings
}

// Read returns the settings. The same bytes are decoded once. Its error is that of
// ReadSettings. It is not safe for concurrent use.
func (f *SettingsFile) Read() (*Settings, error) {
	b, err := settings.ReadFile(f.Path)
	if err != nil {
		return nil, err
	}
	if f.parsed != nil && bytes.Equal(b, f.bytes) {
		return f.parsed, nil
	}
	s, err := ParseSettings(b)
	if err != nil {
		return nil, err
	}
	f.bytes, f.parsed = b, s
	return s, nil
}

// ReadSettings reads and checks a settings file. The error is of type
// settings.Bad and lists all faults.
func ReadSettings(path string) (*Settings, error) {
	b, err := settings.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseSettings(b)
}

// ParseSettings decodes TOML and checks it. Unknown keys are faults.
func ParseSettings(b []byte) (*Settings, error) {
	s := &Settings{LogLevel: "Info", MemoryMB: 128, MaxConnections: defaultMaxConnections}
	if err := settings.Parse(b, s, s.Check); err != nil {
		return nil, err
	}
	return s, nil
}

// Check returns every fault of the settings.
func (s *Settings) Check() settings.Faults {
	f := settings.CheckNotEmpty([]settings.KeyValue{
		{Key: "Host", Value: s.Host}, {Key: "Service", Value: s.Service}, {Key: "Zone", Value: s.Zone},
	})
	f = append(f, s.checkAddresses()...)
	if err := new(slog.LevelVar).UnmarshalText([]byte(s.LogLevel)); err != nil {
		f = append(f, settings.Fault{Key: "LogLevel", Reason: "must be Debug, Info, Warn or Error"})
	}
	if s.MemoryMB < minMemoryMB {
		f = append(f, settings.Fault{Key: "MemoryMB", Reason: fmt.Sprintf("must be at least %d", minMemoryMB)})
	}
	if s.MaxConnections < 1 {
		f = append(f, settings.Fault{Key: "MaxConnections", Reason: "must be at least 1"})
	}
	return append(f, s.ClientLimits.check()...)
}

func (s *Settings) equal(o *Settings) bool { return reflect.DeepEqual(s, o) }

// defaultMaxConnections connections take about 11 MB, at 18 KB each.
const defaultMaxConnections = 600

// minMemoryMB is the memory, in MiB, that a node needs to start and to apply a
// configuration.
const minMemoryMB = 32

func (s *Settings) checkAddresses() settings.Faults {
	all := []settings.KeyValue{
		{Key: "CallerAddress", Value: s.CallerAddress},
		{Key: "CallAddress", Value: s.CallAddress},
		{Key: "ReadyAddress", Value: s.ReadyAddress},
		{Key: "ControlAddress", Value: s.ControlAddress},
		{Key: "BackendAddress", Value: s.BackendAddress},
	}
	if s.OperatorAddress != "" {
		all = append(all, settings.KeyValue{Key: "OperatorAddress", Value: s.OperatorAddress})
	}
	return append(settings.CheckAddresses(all), settings.CheckURL("PlatformURL", s.PlatformURL)...)
}
