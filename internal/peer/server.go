package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"quetzaldock.example/quetzaldock/internal/tlsfiles"
	"quetzaldock.example/quetzaldock/pkg/memorybudget"
	"quetzaldock.example/quetzaldock/pkg/replication"
)

// The RPC names on the wire.
const (
	rpcExchange = "Exchange"
	rpcPull     = "Pull"
	rpcPush     = "Push"
	rpcQuota    = "Quota"
	rpcUpdates  = "Updates"
	rpcTokens   = "Tokens"
)

const (
	// maxConnections bounds accepted control connections. In a fleet of the
	// target size a leader serves 15 members, the other leaders and random
	// hosts.
	maxConnections = 1024
	// inactivityTimeout is the time without a call after which a connection is
	// closed, since the client may have given it up.
	inactivityTimeout = 2 * time.Minute
	// acceptPause is the time to the next attempt after a failure to accept.
	acceptPause = 100 * time.Millisecond
	// handshakeTimeout is the time limit of a TLS handshake.
	handshakeTimeout = 2 * time.Second
)

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
		InactivityTimeout: inactivityTimeout,
	}
}

// A Server serves the control calls of other nodes. It implements drpc.Handler.
// The fields are set before Serve. A call whose function is nil fails with
// UnknownMethod. The argument from is the host ID in the peer's certificate, or
// "" without TLS.
type Server struct {
	// TLS is the node's certificate and the authority; nil means plain TCP.
	TLS *tlsfiles.Identity
	// Meter and Log may be nil.
	Meter *Meter
	Log   *slog.Logger
	// Connections accounts for the memory of connections. It may be nil.
	Connections *memorybudget.Group
	// OnLimit is called for each connection that a limit refuses or closes, with the
	// address of the client. It may be nil.
	OnLimit func(reason memorybudget.Limit, address string)

	Exchange func(ctx context.Context, from string, in replication.Message) (replication.Message, error)
	Push     func(ctx context.Context, from string, in replication.Message) error
	Pull     func(ctx context.Context, from string, in replication.PullRequest) (replication.PullReply, error)
	Quota    func(ctx context.Context, from string, body []byte) ([]byte, error)
	Claim    func(ctx context.Context, from string, in ClaimRequest) (ClaimReply, error)
	Updates  func(ctx context.Context, in UpdatesRequest) (UpdatesReply, error)
	Tokens   func(ctx context.Context, in TokensRequest) (TokensReply, error)
	Reports  func(ctx context.Context, in ReportsRequest) (ReportsReply, error)

	bulkReplies replication.BulkReplyLimiter
}

// peerIDKey is the context key of the host ID in the peer's certificate.
type peerIDKey struct{}

// Serve accepts connections until ctx ends, then closes the listener and all
// connections and returns when their calls have ended.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	if s.Meter == nil {
		s.Meter = &Meter{}
	}
	if s.Log == nil {
		s.Log = slog.New(slog.DiscardHandler)
	}
	ctx, cancel := context.WithCancel(ctx)
	var conns sync.WaitGroup
	defer conns.Wait()
	defer cancel()
	// The function of AfterFunc may not have run when Serve returns.
	defer func() { _ = l.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	server := drpcserver.NewWithOptions(s, drpcserver.Options{Manager: managerOptions()})
	slots := make(chan struct{}, maxConnections)
	for {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
		c, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			<-slots
			if errors.Is(err, net.ErrClosed) {
				return Unreachable.Wrap(err, "cannot accept control connections")
			}
			// For example too many open files, which ends when connections
			// are closed.
			s.Log.Warn("control connection not accepted", "error", err)
			if !sleep(ctx, acceptPause) {
				return nil
			}
			continue
		}
		if c = s.account(c); c == nil {
			<-slots
			continue
		}
		s.Meter.Accepts.Add(1)
		conns.Go(func() {
			defer func() { <-slots }()
			s.serveConnection(ctx, server, &meteredConn{Conn: c, meter: s.Meter})
		})
	}
}

// sleep waits for d and returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) serveConnection(ctx context.Context, server *drpcserver.Server, c net.Conn) {
	defer func() { _ = c.Close() }()
	from := ""
	if s.TLS != nil {
		t := tls.Server(c, s.TLS.ServerConfig())
		hs, cancel := context.WithTimeout(ctx, handshakeTimeout)
		err := t.HandshakeContext(hs)
		cancel()
		if err == nil {
			from, err = tlsfiles.PeerID(t.ConnectionState())
		}
		if err != nil {
			if ctx.Err() == nil {
				s.Log.Warn("control connection refused", "address", c.RemoteAddr().String(), "error", err)
			}
			return
		}
		c = t
	}
	_ = server.ServeOne(context.WithValue(ctx, peerIDKey{}, from), c)
}

// HandleRPC serves one call with the function of its RPC name.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) error {
	ctx := stream.Context()
	from, _ := ctx.Value(peerIDKey{}).(string)
	switch {
	case rpc == rpcExchange && s.Exchange != nil:
		return serveCall(stream, func(in *replication.Message) (any, error) {
			if err := checkSender(from, in.From); err != nil {
				return nil, err
			}
			out, err := s.Exchange(ctx, from, *in)
			return &out, err
		})
	case rpc == rpcPush && s.Push != nil:
		return serveCall(stream, func(in *replication.Message) (any, error) {
			if err := checkSender(from, in.From); err != nil {
				return nil, err
			}
			return &empty{}, s.Push(ctx, from, *in)
		})
	case rpc == rpcPull && s.Pull != nil:
		return s.handlePull(ctx, stream, from)
	case rpc == rpcQuota && s.Quota != nil:
		return serveCall(stream, func(in *raw) (any, error) {
			out, err := s.Quota(ctx, from, in.body)
			return &raw{body: out}, err
		})
	case rpc == rpcClaim && s.Claim != nil:
		return serveCall(stream, func(in *ClaimRequest) (any, error) {
			out, err := s.Claim(ctx, from, *in)
			return &out, err
		})
	case rpc == rpcUpdates && s.Updates != nil:
		return serveCall(stream, func(in *UpdatesRequest) (any, error) {
			out, err := s.Updates(ctx, *in)
			return &out, err
		})
	case rpc == rpcTokens && s.Tokens != nil:
		return serveCall(stream, func(in *TokensRequest) (any, error) {
			out, err := s.Tokens(ctx, *in)
			return &out, err
		})
	case rpc == rpcReports && s.Reports != nil:
		return serveCall(stream, func(in *ReportsRequest) (any, error) {
			out, err := s.Reports(ctx, *in)
			return &out, err
		})
	}
	return UnknownMethod.New("this node does not serve %s", rpc)
}

// checkSender fails with WrongIdentity if a message names a sender other than
// the host in the peer's certificate. Without TLS it accepts any sender.
func checkSender(certificateID, messageID string) error {
	if certificateID != "" && messageID != certificateID {
		return WrongIdentity.New("certificate of %s, message of %s", certificateID, messageID)
	}
	return nil
}

// serveCall receives a request, passes it to f and sends the reply.
func serveCall[T any](stream drpc.Stream, f func(in *T) (any, error)) error {
	in := new(T)
	if err := stream.MsgRecv(in, codec{}); err != nil {
		return err
	}
	out, err := f(in)
	if err != nil {
		return err
	}
	return stream.MsgSend(out, codec{})
}

// handlePull serves a pull. A large reply counts in bulkReplies until it is sent.
func (s *Server) handlePull(ctx context.Context, stream drpc.Stream, from string) error {
	in := &replication.PullRequest{}
	if err := stream.MsgRecv(in, codec{}); err != nil {
		return err
	}
	out, err := s.Pull(ctx, from, *in)
	if err != nil {
		return err
	}
	size := out.PayloadBytes()
	if !s.bulkReplies.Begin(size) {
		return stream.MsgSend(&replication.PullReply{Busy: true}, codec{})
	}
	defer s.bulkReplies.End(size)
	compressReply(&out)
	return stream.MsgSend(&out, codec{})
}
