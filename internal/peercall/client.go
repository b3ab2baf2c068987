package peercall

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/http1"
)

const (
	// maxIdlePerHost is the maximum number of idle connections to one host.
	maxIdlePerHost = 32
	// maxIdleTime is how long an idle connection is kept.
	maxIdleTime = 30 * time.Second
	// maxRefusalBytes bounds how much is read of the body of a refusal.
	maxRefusalBytes = 1 << 10
)

// A Client sends calls to other nodes. Its exported fields are set before
// first use.
type Client struct {
	// TLS returns the configuration of a connection to the host with the given
	// ID, which the host's certificate must name. It is called for each
	// connection, so that a renewed certificate is used. Nil means plain TCP.
	TLS func(host string) *tls.Config
	// OnVersion is called with the configuration version of each response.
	OnVersion func(v uint64)
	Now       func() time.Time
	// StartedAt is when this process started. The sender's clock in
	// call.HeaderSentAt counts from it.
	StartedAt time.Time
	// Keepalive configures the TCP keep-alive probes, which detect broken
	// connections.
	Keepalive net.KeepAliveConfig

	pools http1.PoolMap[Peer]
	// senderID is the random identity of this process in call.HeaderSentAt.
	senderID string
}

// A Peer is a node that calls are sent to.
type Peer struct {
	// HostID is the ID of the node's host, which the node's certificate must
	// name.
	HostID string
	// Address is the address of the node's listener for calls.
	Address string
}

// NewClient returns a client with a new sender identity.
func NewClient() *Client {
	c := &Client{
		OnVersion: func(uint64) {},
		Now:       time.Now,
		StartedAt: time.Now(),
		Keepalive: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
		senderID:  rand.Text(),
	}
	c.pools.NewPool = c.newPool
	return c
}

// A Load is the load of a backend server that its node reports with each
// response.
type Load struct {
	// Running, Permits and Queued are the numbers of calls that run, that may
	// run at once, and that wait.
	Running, Permits, Queued int
	// Known is false if the response carried no load.
	Known bool
}

// Do sends a call to another node once and returns the response and the load
// that the node reports. It fails with *call.NotRun, *call.OutcomeUnknown or
// *call.DuplicateRequest.
func (c *Client) Do(ctx context.Context, to Peer, k call.Call, r *http.Request, body io.ReadCloser) (*http.Response, Load, error) {
	p, q := c.pools.Pool(to), c.newRequest(k, r, body)
	send := p.DoNonIdempotent
	if k.Idempotent {
		send = p.Do
	}
	a, err := send(ctx, q)
	if err != nil {
		return nil, Load{}, exchangeError(ctx, err)
	}
	l := parseLoad(a.Header.Get(call.HeaderLoad))
	if v, e := strconv.ParseUint(a.Header.Get(call.HeaderConfigVersion), 10, 64); e == nil {
		c.OnVersion(v)
	}
	a, err = parseResponse(a)
	return a, l, err
}

// DropConnections closes the idle connections to a node and keeps the others
// from being reused. It is called after a call on one of them got no response.
func (c *Client) DropConnections(to Peer) { c.pools.Pool(to).Invalidate() }

// Sweep closes idle connections that are broken or were idle for maxIdleTime.
func (c *Client) Sweep() { c.pools.Sweep(c.Now().Add(-maxIdleTime)) }

// Close closes all idle connections.
func (c *Client) Close() { c.pools.Close() }

func (c *Client) newPool(to Peer) *http1.Pool {
	return &http1.Pool{MaxIdle: maxIdlePerHost, ProbeIdle: true, Dial: c.dialer(to)}
}

func (c *Client) dialer(to Peer) func(context.Context) (net.Conn, error) {
	d := &net.Dialer{KeepAliveConfig: c.Keepalive}
	if c.TLS == nil {
		return func(ctx context.Context) (net.Conn, error) { return d.DialContext(ctx, "tcp", to.Address) }
	}
	return func(ctx context.Context) (net.Conn, error) {
		t := tls.Dialer{NetDialer: d, Config: c.TLS(to.HostID)}
		return t.DialContext(ctx, "tcp", to.Address)
	}
}

// newRequest returns the request to send to the other node. The client key is
// not part of it.
func (c *Client) newRequest(k call.Call, r *http.Request, body io.ReadCloser) *http.Request {
	h, set := call.ForwardedHeaders(r.Header, 10)
	now := c.Now()
	set.Set(call.HeaderRequestID, k.ID)
	set.Set(call.HeaderService, k.Service)
	set.Set(call.HeaderAccount, k.Account)
	set.Set(call.HeaderTimeLeft, strconv.FormatInt(max(0, k.Deadline.Sub(now).Microseconds()), 10))
	set.Set(call.HeaderSentAt, c.senderID+"-"+strconv.FormatInt(now.Sub(c.StartedAt).Microseconds(), 10))
	set.Set(call.HeaderDepth, strconv.Itoa(k.Depth))
	set.Set(call.HeaderConfigVersion, strconv.FormatUint(k.ConfigVersion, 10))
	if k.Idempotent {
		set.Set(call.HeaderIdempotent, "1")
	}
	if !k.Fingerprint.IsZero() {
		set.Set(call.HeaderFingerprint, k.Fingerprint.String())
	}
	host := r.Host
	if host == "" {
		host = k.Service
	}
	return &http.Request{
		Method: r.Method, Host: host, Header: h, Body: body, ContentLength: r.ContentLength,
		URL: &url.URL{Scheme: "http", Host: host, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery},
	}
}
