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
	// CallTimeout is the deadline of Exchange, Push and Quota.
	CallTimeout = 500 * time.Millisecond
	// PullTimeout is the deadline of Pull.
	PullTimeout = 3 * time.Second
	// connectionsPerPeer bounds the connections to one peer. Two keep an
	// exchange from waiting behind a pull.
	connectionsPerPeer = 2
	// maxIdle bounds idle connections over all peers; the one that was idle
	// longest is closed first.
	maxIdle = 64
)

// A Client calls other nodes. The fields are set before the first call.
type Client struct {
	// TLS is the node's certificate and the authority; nil dials plain TCP.
	TLS   *tlsfiles.Identity
	Meter *Meter
	// Dial opens a TCP connection; nil uses net.Dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu     sync.Mutex
	peers  map[string]*peerPool
	idle   []*conn // over all peers, longest idle first
	closed bool
}

// A peerPool bounds the connections to one peer.
type peerPool struct {
	slots chan struct{}
	users int // calls that hold or wait for a slot; guarded by the Client
}

type conn struct {
	*drpcconn.Conn
	peer string
}

// Exchange sends a message and returns the peer's.
func (c *Client) Exchange(ctx context.Context, to hosts.Host, m replication.Message) (replication.Message, error) {
	var out replication.Message
	return out, c.call(ctx, to, rpcExchange, CallTimeout, &m, &out)
}

// Push sends a message.
func (c *Client) Push(ctx context.Context, to hosts.Host, m replication.Message) error {
	return c.call(ctx, to, rpcPush, CallTimeout, &m, &empty{})
}

// Pull asks for bytes. The bytes are not verified.
func (c *Client) Pull(ctx context.Context, to hosts.Host, q replication.PullRequest) (replication.PullReply, error) {
	var out replication.PullReply
	if err := c.call(ctx, to, rpcPull, PullTimeout, &q, &out); err != nil {
		return out, err
	}
	return out, unpack(&out)
}

// Quota sends an encoded report and returns the encoded reply.
func (c *Client) Quota(ctx context.Context, to hosts.Host, body []byte) ([]byte, error) {
	out := raw{}
	err := c.call(ctx, to, rpcQuota, CallTimeout, &raw{body: body}, &out)
	return out.body, err
}

// Updates asks for what was published. The call may take the time that the
// request lets the peer wait, and UpdatesSlack more.
func (c *Client) Updates(ctx context.Context, to hosts.Host, q UpdatesRequest) (UpdatesReply, error) {
	var out UpdatesReply
	wait := time.Duration(q.WaitMs) * time.Millisecond
	err := c.call(ctx, to, rpcUpdates, wait+UpdatesTimeoutMargin, &q, &out)
	return out, err
}

// Tokens asks for tokens of an account's limit.
func (c *Client) Tokens(ctx context.Context, to hosts.Host, q TokensRequest) (TokensReply, error) {
	var out TokensReply
	err := c.call(ctx, to, rpcTokens, CallTimeout, &q, &out)
	return out, err
}

// Close closes idle connections; calls that end later close theirs.
func (c *Client) Close() {
	c.mu.Lock()
	idle := c.idle
	c.idle, c.closed = nil, true
	c.mu.Unlock()
	for _, i := range idle {
		_ = i.Close()
	}
}

// call makes one attempt. A call that fails closes its connection, so that a
// connection that went silent is not used again.
func (c *Client) call(ctx context.Context, to hosts.Host, rpc string, timeout time.Duration, in, out drpc.Message) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	key := to.ControlAddress + "/" + to.ID
	p := c.acquire(key)
	defer c.release(key, p)
	select {
	case p.slots <- struct{}{}:
		defer func() { <-p.slots }()
	case <-ctx.Done():
		return Timeout.New("%s to %s: all connections busy", rpc, to.ControlAddress)
	}
	n, err := c.connect(ctx, key, to)
	if err == nil {
		if err = n.Invoke(ctx, rpc, codec{}, in, out); err == nil {
			c.park(n)
			return nil
		}
		_ = n.Close()
	}
	if ctx.Err() != nil {
		return Timeout.Wrap(err, "%s to %s", rpc, to.ControlAddress)
	}
	return Unreachable.Wrap(err, "%s to %s", rpc, to.ControlAddress)
}

func (c *Client) acquire(key string) *peerPool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers == nil {
		c.peers = map[string]*peerPool{}
	}
	p := c.peers[key]
	if p == nil {
		p = &peerPool{slots: make(chan struct{}, connectionsPerPeer)}
		c.peers[key] = p
	}
	p.users++
	return p
}

func (c *Client) release(key string, p *peerPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.users--; p.users == 0 {
		delete(c.peers, key)
	}
}

// connect returns an idle connection to the peer or dials one.
func (c *Client) connect(ctx context.Context, key string, to hosts.Host) (*conn, error) {
	for {
		n := c.unpark(key)
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
	return &conn{Conn: drpcconn.NewWithOptions(t, o), peer: key}, nil
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
		t = &metered{Conn: t, m: c.Meter}
	}
	if c.TLS == nil {
		return t, nil
	}
	s := tls.Client(t, c.TLS.Client(to.ID))
	if err := s.HandshakeContext(ctx); err != nil {
		_ = t.Close()
		return nil, err
	}
	return s, nil
}

// unpark takes the connection to the peer that was used last.
func (c *Client) unpark(key string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.idle) - 1; i >= 0; i-- {
		if n := c.idle[i]; n.peer == key {
			c.idle = append(c.idle[:i], c.idle[i+1:]...)
			return n
		}
	}
	return nil
}

func (c *Client) park(n *conn) {
	var drop *conn
	c.mu.Lock()
	switch {
	case c.closed:
		drop = n
	case len(c.idle) >= maxIdle:
		drop = c.idle[0]
		c.idle = append(c.idle[1:], n)
	default:
		c.idle = append(c.idle, n)
	}
	c.mu.Unlock()
	if drop != nil {
		_ = drop.Close()
	}
}
