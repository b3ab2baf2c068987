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
	"sync"
	"time"

	"quetzaldock.example/quetzaldock/internal/call"
	"quetzaldock.example/quetzaldock/internal/http1"
)

const (
	// maxIdlePerHost bounds the idle connections kept to one host.
	maxIdlePerHost = 32
	// idleLimit is how long an unused connection is kept.
	idleLimit = 30 * time.Second
	// refusalBytes bounds what is read of a refusal's text.
	refusalBytes = 1 << 10
)

// A Client sends calls to other nodes. Its exported fields are set before
// first use.
type Client struct {
	// TLS returns the configuration of a connection to a host, whose certificate
	// must name its ID. It is asked for each connection, so that a renewed
	// certificate is used. Nil means plain TCP.
	TLS func(host string) *tls.Config
	// SawVersion is told the version of every answer.
	SawVersion func(v uint64)
	Now        func() time.Time
	// Started is when this process started; clock readings count from it.
	Started time.Time
	// Keepalive configures TCP's own detection of dead connections.
	Keepalive net.KeepAliveConfig

	mu    sync.Mutex
	pools map[Peer]*http1.Pool
	id    string
}

// A Peer is the node that a call is sent to.
type Peer struct {
	// Host is the host ID that the node's certificate must name.
	Host    string
	Address string
}

// NewClient returns a client with a fresh process identity.
func NewClient() *Client {
	return &Client{
		SawVersion: func(uint64) {},
		Now:        time.Now,
		Started:    time.Now(),
		Keepalive:  net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
		pools:      map[Peer]*http1.Pool{},
		id:         rand.Text(),
	}
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
	p, q := c.pool(to), c.outgoing(k, r, body)
	send := p.DoOnce
	if k.Idempotent {
		send = p.Do
	}
	a, err := send(ctx, q)
	if err != nil {
		return nil, Load{}, failure(ctx, err)
	}
	l := parseLoad(a.Header.Get(call.HeaderLoad))
	if v, e := strconv.ParseUint(a.Header.Get(call.HeaderVersion), 10, 64); e == nil {
		c.SawVersion(v)
	}
	a, err = answer(a)
	return a, l, err
}

// Silent drops the connections to a node after one of them gave no answer.
func (c *Client) Silent(to Peer) { c.pool(to).Drop() }

// Sweep closes dead and long unused connections; pools without any are
// forgotten.
func (c *Client) Sweep() {
	c.mu.Lock()
	pools := make(map[Peer]*http1.Pool, len(c.pools))
	for a, p := range c.pools {
		pools[a] = p
	}
	c.mu.Unlock()
	before := c.Now().Add(-idleLimit)
	for a, p := range pools {
		p.Sweep(before)
		if p.Open() == 0 {
			c.mu.Lock()
			delete(c.pools, a)
			c.mu.Unlock()
		}
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		p.Close()
	}
}

func (c *Client) pool(to Peer) *http1.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[to]
	if p == nil {
		p = &http1.Pool{MaxIdle: maxIdlePerHost, Probe: true, Dial: c.dialer(to)}
		c.pools[to] = p
	}
	return p
}

func (c *Client) dialer(to Peer) func(context.Context) (net.Conn, error) {
	d := &net.Dialer{KeepAliveConfig: c.Keepalive}
	if c.TLS == nil {
		return func(ctx context.Context) (net.Conn, error) { return d.DialContext(ctx, "tcp", to.Address) }
	}
	return func(ctx context.Context) (net.Conn, error) {
		t := tls.Dialer{NetDialer: d, Config: c.TLS(to.Host)}
		return t.DialContext(ctx, "tcp", to.Address)
	}
}

// outgoing builds the request as the other node sees it. The caller's key
// never leaves this process.
func (c *Client) outgoing(k call.Call, r *http.Request, body io.ReadCloser) *http.Request {
	h, set := call.Forwarded(r.Header, 9)
	now := c.Now()
	set.Set(call.HeaderID, k.ID)
	set.Set(call.HeaderService, k.Service)
	set.Set(call.HeaderAccount, k.Account)
	set.Set(call.HeaderBudget, strconv.FormatInt(max(0, k.Deadline.Sub(now).Microseconds()), 10))
	set.Set(call.HeaderSent, c.id+"-"+strconv.FormatInt(now.Sub(c.Started).Microseconds(), 10))
	set.Set(call.HeaderDepth, strconv.Itoa(k.Depth))
	set.Set(call.HeaderVersion, strconv.FormatUint(k.Version, 10))
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
