package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"quetzaldock.example/quetzaldock/internal/tlsfiles"
	"quetzaldock.example/quetzaldock/pkg/hosts"
	"quetzaldock.example/quetzaldock/pkg/replication"
)

const (
	// CallTimeout is the time limit of Exchange, Push, Quota, Tokens and Reports.
	CallTimeout = 500 * time.Millisecond
	// PullTimeout is the time limit of Pull.
	PullTimeout = 3 * time.Second
	// maxConnectionsPerPeer bounds the connections to one peer. With two, an
	// exchange need not wait for a pull to end.
	maxConnectionsPerPeer = 2
	// maxIdleConnections bounds the idle connections over all peers. The one
	// that was idle longest is closed first.
	maxIdleConnections = 64
)

// A Client calls other nodes. The fields are set before the first call.
type Client struct {
	// TLS is the node's certificate and the authority; nil means plain TCP.
	TLS *tlsfiles.Identity
	// Meter counts the traffic; nil means that it is not counted.
	Meter *Meter
	// Dial opens a TCP connection; nil means net.Dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu              sync.Mutex
	slotsByPeer     map[string]*peerSlots
	idleConnections []*clientConn // over all peers, longest idle first
	closed          bool
}

// A peerSlots holds the connection slots of one peer: a call needs a slot to use
// a connection.
type peerSlots struct {
	slots chan struct{}
	calls int // number that hold or wait for a slot; guarded by Client.mu
}

// A clientConn is a connection with the key of its peer, as in slotsByPeer.
type clientConn struct {
	*drpcconn.Conn
	peerKey string
}

// Exchange sends an exchange request and returns the peer's reply.
func (c *Client) Exchange(ctx context.Context, to hosts.Host, m replication.Message) (replication.Message, error) {
	var out replication.Message
	return out, c.call(ctx, to, rpcExchange, CallTimeout, &m, &out)
}

// Push sends a push message.
func (c *Client) Push(ctx context.Context, to hosts.Host, m replication.Message) error {
	return c.call(ctx, to, rpcPush, CallTimeout, &m, &empty{})
}

// Pull asks for bytes and decompresses them. Digests are not verified.
func (c *Client) Pull(ctx context.Context, to hosts.Host, q replication.PullRequest) (replication.PullReply, error) {
	var out replication.PullReply
	if err := c.call(ctx, to, rpcPull, PullTimeout, &q, &out); err != nil {
		return out, err
	}
	return out, decompressReply(&out)
}

// Quota sends an encoded quota report and returns the encoded reply.
func (c *Client) Quota(ctx context.Context, to hosts.Host, body []byte) ([]byte, error) {
	out := raw{}
	err := c.call(ctx, to, rpcQuota, CallTimeout, &raw{body: body}, &out)
	return out.body, err
}

// Updates asks a node for updates. Its time limit is q.WaitMs, for which the peer
// may wait, plus UpdatesTimeoutMargin.
func (c *Client) Updates(ctx context.Context, to hosts.Host, q UpdatesRequest) (UpdatesReply, error) {
	var out UpdatesReply
	wait := time.Duration(q.WaitMs) * time.Millisecond
	err := c.call(ctx, to, rpcUpdates, wait+UpdatesTimeoutMargin, &q, &out)
	return out, err
}

// Tokens asks a node for tokens of an account's limit.
func (c *Client) Tokens(ctx context.Context, to hosts.Host, q TokensRequest) (TokensReply, error) {
	var out TokensReply
	err := c.call(ctx, to, rpcTokens, CallTimeout, &q, &out)
	return out, err
}

// Close closes idle connections. Calls that end later close their connection.
func (c *Client) Close() {
	c.mu.Lock()
	idleConnections := c.idleConnections
	c.idleConnections, c.closed = nil, true
	c.mu.Unlock()
	for _, i := range idleConnections {
		_ = i.Close()
	}
}

// call makes one attempt. If it fails, its connection is closed, so that a
// connection that no longer answers is not used again.
func (c *Client) call(ctx context.Context, to hosts.Host, rpc string, timeout time.Duration, in, out drpc.Message) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	key := to.ControlAddress + "/" + to.ID
	p := c.acquireSlots(key)
	defer c.releaseSlots(key, p)
	select {
	case p.slots <- struct{}{}:
		defer func() { <-p.slots }()
	case <-ctx.Done():
		return Timeout.New("%s to %s: all connections to the peer are in use", rpc, to.ControlAddress)
	}
	n, err := c.connect(ctx, key, to)
	if err == nil {
		if err = n.Invoke(ctx, rpc, codec{}, in, out); err == nil {
			c.putIdle(n)
			return nil
		}
		_ = n.Close()
	}
	if ctx.Err() != nil {
		return Timeout.Wrap(err, "%s to %s", rpc, to.ControlAddress)
	}
	return Unreachable.Wrap(err, "%s to %s", rpc, to.ControlAddress)
}

func (c *Client) acquireSlots(key string) *peerSlots {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.slotsByPeer == nil {
		c.slotsByPeer = map[string]*peerSlots{}
	}
	p := c.slotsByPeer[key]
	if p == nil {
		p = &peerSlots{slots: make(chan struct{}, maxConnectionsPerPeer)}
		c.slotsByPeer[key] = p
	}
	p.calls++
	return p
}

func (c *Client) releaseSlots(key string, p *peerSlots) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.calls--; p.calls == 0 {
		delete(c.slotsByPeer, key)
	}
}

// connect returns an idle connection to the peer or dials one.
func (c *Client) connect(ctx context.Context, key string, to hosts.Host) (*clientConn, error) {
	for {
		n := c.takeIdle(key)
		if n == nil {
			break
		}
		select {
		case <-n.Closed():
			_ = n.Close()
		default:
			return n, nil
		}
	}
	t, err := c.dial(ctx, to)
	if err != nil {
		return nil, err
	}
	o := drpcconn.Options{Manager: managerOptions()}
	o.Manager.InactivityTimeout = 0
	return &clientConn{Conn: drpcconn.NewWithOptions(t, o), peerKey: key}, nil
}

func (c *Client) dial(ctx context.Context, to hosts.Host) (net.Conn, error) {
	dial := c.Dial
	if dial == nil {
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		}
	}
	t, err := dial(ctx, to.ControlAddress)
	if err != nil {
		return nil, err
	}
	if c.Meter != nil {
		c.Meter.Dials.Add(1)
		t = &meteredConn{Conn: t, meter: c.Meter}
	}
	if c.TLS == nil {
		return t, nil
	}
	s := tls.Client(t, c.TLS.ClientConfig(to.ID))
	if err := s.HandshakeContext(ctx); err != nil {
		_ = t.Close()
		return nil, err
	}
	return s, nil
}

// takeIdle removes and returns the idle connection to the peer that was used
// last, or returns nil if there is none.
func (c *Client) takeIdle(key string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.idleConnections) - 1; i >= 0; i-- {
		if n := c.idleConnections[i]; n.peerKey == key {
			c.idleConnections = append(c.idleConnections[:i], c.idleConnections[i+1:]...)
			return n
		}
	}
	return nil
}

func (c *Client) putIdle(n *clientConn) {
	var drop *clientConn
	c.mu.Lock()
	switch {
	case c.closed:
		drop = n
	case len(c.idleConnections) >= maxIdleConnections:
		drop = c.idleConnections[0]
		c.idleConnections = append(c.idleConnections[1:], n)
	default:
		c.idleConnections = append(c.idleConnections, n)
	}
	c.mu.Unlock()
	if drop != nil {
		_ = drop.Close()
	}
}
