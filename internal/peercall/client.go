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
	// maxIdlePerHost bounds the idle connections kept to one host.
	maxIdlePerHost = 32
	// idleLimit is how long an unused connection is kept.
	maxIdleTime = 30 * time.Second
	// refusalBytes bounds what is read of a refusal's text.
	maxRefusalBytes = 1 << 10
)

// A Client sends calls to other nodes. Its exported fields are set before
// first use.
type Client struct {
	// TLS returns the configuration of a connection to a host, whose certificate
	// must name its ID. It is asked for each connection, so that a renewed
	// certificate is used. Nil means plain TCP.
	TLS func(host string) *tls.Config
	// SawVersion is told the version of every answer.
	OnVersion func(v uint64)
	Now       func() time.Time
	// Started is when this process started; clock readings count from it.
	StartedAt time.Time
	// Keepalive configures TCP's own detection of dead connections.
	Keepalive net.KeepAliveConfig

	pools    http1.PoolMap[Peer]
	senderID string
}

// A Peer is the node that a call is sent to.
type Peer struct {
	// Host is the host ID that the node's certificate must name.
	HostID  string
	Address string
}

// NewClient returns a client with a fresh process identity.
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

// A Load is what a gate says of itself in its answers.
type Load struct {
	Running, Permits, Queued int
	// Known is false when the answer carried no load.
	Known bool
}

// Do sends a call to another node once. It fails with *call.NotRun,
// *call.Unknown or *call.Repeat.
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

// Silent drops the connections to a node after one of them gave no answer.
func (c *Client) DropConnections(to Peer) { c.pools.Pool(to).Invalidate() }

// Sweep closes dead and long unused connections.
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

// outgoing builds the request as the other node sees it. The caller's key
// never leaves this process.
func (c *Client) newRequest(k call.Call, r *http.Request, body io.ReadCloser) *http.Request {
	h, set := call.ForwardedHeaders(r.Header, 9)
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
	host := r.Host
	if host == "" {
		host = k.Service
	}
	return &http.Request{
		Method: r.Method, Host: host, Header: h, Body: body, ContentLength: r.ContentLength,
		URL: &url.URL{Scheme: "http", Host: host, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery},
	}
}
