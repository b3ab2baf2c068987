package node

import (
	"fmt"
	"log/slog"
	"net/netip"

	"github.com/joomcode/errorx"

	"quetzaldock.example/quetzaldock/internal/settings"
)

var (
	namespace = errorx.NewNamespace("node")
	// BadSettings means that the settings cannot be used.
	BadSettings = settings.ErrInvalid
	// ListenFailed means that an address could not be bound.
	ListenFailed = namespace.NewType("listen_failed")
)

// Settings configure one node. They are read once, at the start.
type Settings struct {
	// Host is the ID of this host. It is never given to another host.
	Host    string
	Service string
	Zone    string
	// CallerAddress takes requests of callers and nested calls of the local
	// backend server, over HTTP.
	CallerAddress string
	// CallAddress takes calls of other nodes, over mutual TLS.
	CallAddress string
	// ControlAddress takes control messages of other nodes, over mutual TLS.
	ControlAddress string
	// OperatorAddress serves status, health and metrics.
	OperatorAddress string
	// BackendAddress is the backend server on this host.
	BackendAddress string
	// PlatformURL is the platform's configuration service.
	PlatformURL string
	// Seeds are control addresses of other nodes, asked while neither the
	// source nor a host list is at hand.
	Seeds []string
	// FleetHint is the expected number of hosts. It spreads the first reads
	// at the source after a restart of the whole fleet.
	FleetHint int
	// LogLevel is Debug, Info, Warn or Error.
	LogLevel string
	// StopMs is how long, in milliseconds, a planned stop waits for calls.
	StopMs int
	TLS    TLSSettings
}

// TLSSettings name the PEM files of mutual TLS between nodes. They are read
// again when they change. Without any, connections between nodes are plain,
// which only loopback addresses may use.
type TLSSettings struct {
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
}

// Enabled reports whether connections between nodes use TLS.
func (t TLSSettings) Enabled() bool { return t.CertificateFile != "" }

// ReadSettings reads and checks a settings file. The error is of type
// settings.Bad and lists all faults.
func ReadSettings(path string) (*Settings, error) {
	b, err := settings.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseSettings(b)
}

// ParseSettings checks settings in TOML. Unknown keys are faults.
func ParseSettings(b []byte) (*Settings, error) {
	s := &Settings{LogLevel: "Info", StopMs: defaultStopMs}
	if err := settings.Parse(b, s, s.Check); err != nil {
		return nil, err
	}
	return s, nil
}

// defaultStopMs is the default of StopMs, 10 s more than the longest deadline
// of a call.
const defaultStopMs = 310_000

// Check returns every fault of the settings.
func (s *Settings) Check() settings.Faults {
	f := settings.CheckNotEmpty([]settings.KeyValue{
		{Key: "Host", Value: s.Host}, {Key: "Service", Value: s.Service}, {Key: "Zone", Value: s.Zone},
	})
	f = append(f, s.checkAddresses()...)
	f = append(f, s.checkTLS()...)
	if err := new(slog.LevelVar).UnmarshalText([]byte(s.LogLevel)); err != nil {
		f = append(f, settings.Fault{Key: "LogLevel", Reason: "must be Debug, Info, Warn or Error"})
	}
	if s.StopMs <= 0 || s.StopMs > 600_000 {
		f = append(f, settings.Fault{Key: "StopMs", Reason: "must be from 1 to 600000"})
	}
	if s.FleetHint < 0 {
		f = append(f, settings.Fault{Key: "FleetHint", Reason: "must not be negative"})
	}
	return f
}

func (s *Settings) checkAddresses() settings.Faults {
	f := settings.CheckAddresses([]settings.KeyValue{
		{Key: "CallerAddress", Value: s.CallerAddress},
		{Key: "CallAddress", Value: s.CallAddress},
		{Key: "ControlAddress", Value: s.ControlAddress},
		{Key: "OperatorAddress", Value: s.OperatorAddress},
		{Key: "BackendAddress", Value: s.BackendAddress},
	})
	for i, a := range s.Seeds {
		if _, err := netip.ParseAddrPort(a); err != nil {
			f = append(f, settings.Fault{Key: fmt.Sprintf("Seeds[%d]", i), Reason: "must be an IP address and port"})
		}
	}
	return append(f, settings.CheckURL("PlatformURL", s.PlatformURL)...)
}

func (s *Settings) checkTLS() settings.Faults {
	t := s.TLS
	var f settings.Faults
	if (t.CertificateFile == "") != (t.KeyFile == "") || (t.KeyFile == "") != (t.AuthorityFile == "") {
		f = append(f, settings.Fault{Key: "TLS", Reason: "needs CertificateFile, KeyFile and AuthorityFile together"})
	}
	if t.Enabled() {
		return f
	}
	for _, a := range []struct{ key, value string }{
		{"CallAddress", s.CallAddress}, {"ControlAddress", s.ControlAddress},
	} {
		p, err := netip.ParseAddrPort(a.value)
		if err == nil && !p.Addr().IsLoopback() {
			f = append(f, settings.Fault{Key: a.key, Reason: "needs TLS unless it is a loopback address"})
		}
	}
	return f
}
