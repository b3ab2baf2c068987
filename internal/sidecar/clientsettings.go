package sidecar

import (
	"fmt"

	"quetzaldock.example/quetzaldock/internal/http1"
	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/internal/settings"
)

// ClientLimits bound what clients may use, besides the limits of the configuration.
type ClientLimits struct {
	// HeaderFields is the number of fields of a header.
	HeaderFields int
	// PipelinedRequests is the number of requests in a row that a client sends before it
	// has the response to the one before. The connection is closed after them.
	PipelinedRequests int
	// BodyStallMs and ReadStallMs are the times, in milliseconds, in which a client must
	// send one more part of a body and read the next 64 KiB of a response.
	BodyStallMs, ReadStallMs int
	// The numbers of connections of the listeners. Above 94 percent of them idle and
	// stalled connections are closed, and new ones are refused above them.
	CallerConnections, NodeConnections, ReadyConnections, OperatorConnections, ControlConnections int
}

// The defaults of ClientLimits.
const (
	// defaultHeaderFields is met by no header within maxHeaderBytes: the shortest field has
	// four bytes. The memory budget bounds what many such headers take together.
	defaultHeaderFields = maxHeaderBytes / 4
	// defaultPipelinedRequests allows for clients that pipeline: few send more than ten
	// requests ahead.
	defaultPipelinedRequests = 100
	// defaultStallMs is as long as the longest request may take.
	defaultStallMs = 30_000
	// maxReadyConnections and defaultOperatorConnections allow for several programs that
	// open a connection for each check.
	maxReadyConnections        = 256
	defaultOperatorConnections = 32
	// maxControlConnections allows for 100 nodes that each ask this one for updates,
	// tokens and reports at the same time.
	maxControlConnections = 512
	// readyMemoryDivisor and controlMemoryDivisor bound the part of the memory that the
	// connections of these listeners take, so that they leave room for others.
	readyMemoryDivisor   = 4
	controlMemoryDivisor = 2
	// minExtraConnections is how many connections more than MaxConnections are allowed at
	// least: only idle ones are closed above that, four times a second.
	minExtraConnections = 64
)

// clientLimits returns the limits with their defaults.
func (s *Settings) clientLimits() *ClientLimits {
	l := s.ClientLimits
	for _, x := range l.fields() {
		if *x.value == 0 {
			*x.value = x.standard
		}
	}
	memory := int(clientMemory(s.MemoryMB))
	connections := s.MaxConnections + max(s.MaxConnections/2, minExtraConnections)
	for _, x := range []struct {
		value    *int
		standard int
	}{
		{&l.CallerConnections, connections},
		{&l.NodeConnections, connections},
		{&l.ReadyConnections, min(connections, maxReadyConnections, memory/readyMemoryDivisor/http1.ConnectionBytes)},
		{&l.ControlConnections, min(connections, maxControlConnections, memory/controlMemoryDivisor/peer.ConnectionBytes)},
	} {
		if *x.value == 0 {
			*x.value = x.standard
		}
	}
	return &l
}

// A clientLimitField is one field of ClientLimits.
type clientLimitField struct {
	name  string
	value *int
	// standard is the default, zero if it depends on MaxConnections.
	standard int
	// smallest is the smallest value besides zero.
	smallest int
}

// fields lists the fields of l.
func (l *ClientLimits) fields() []clientLimitField {
	return []clientLimitField{
		{"HeaderFields", &l.HeaderFields, defaultHeaderFields, 16},
		{"PipelinedRequests", &l.PipelinedRequests, defaultPipelinedRequests, 1},
		{"BodyStallMs", &l.BodyStallMs, defaultStallMs, 1000},
		{"ReadStallMs", &l.ReadStallMs, defaultStallMs, 1000},
		{"CallerConnections", &l.CallerConnections, 0, 1},
		{"NodeConnections", &l.NodeConnections, 0, 1},
		{"ReadyConnections", &l.ReadyConnections, 0, 1},
		{"OperatorConnections", &l.OperatorConnections, defaultOperatorConnections, 1},
		{"ControlConnections", &l.ControlConnections, 0, 1},
	}
}

// check returns every fault of the limits.
func (l *ClientLimits) check() settings.Faults {
	var f settings.Faults
	for _, x := range l.fields() {
		if *x.value != 0 && *x.value < x.smallest {
			f = append(f, settings.Fault{Key: "ClientLimits." + x.name, Reason: fmt.Sprintf("must be at least %d, or 0 for the default", x.smallest)})
		}
	}
	return f
}
