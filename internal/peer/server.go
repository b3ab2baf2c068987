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
	"quetzaldock.example/quetzaldock/pkg/replication"
)

// The names of the calls on the wire.
const (
	rpcExchange = "Exchange"
	rpcPull     = "Pull"
	rpcPush     = "Push"
	rpcQuota    = "Quota"
	rpcUpdates  = "Updates"
	rpcTokens   = "Tokens"
)

const (
	// maxConnections bounds accepted control connections. At the target each
	// leader serves 15 members, its fellow leaders and random hosts.
	maxConnections = 1024
	// inactivity closes connections that clients have given up.
	inactivity = 2 * time.Minute
	// acceptPause is the wait after a failure to accept.
	acceptPause = 100 * time.Millisecond
	// handshakeTimeout bounds a TLS handshake.
	handshakeTimeout = 2 * time.Second
)

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
		InactivityTimeout: inactivity,
	}
}

// A Server answers the control calls of other nodes. It implements
// drpc.Handler. The fields are set before Serve; a nil function refuses its
// call. From is the ID in the peer's certificate, or "" without TLS.
type Server struct {
	// TLS is the node's certificate and the authority; nil serves plain TCP.
	TLS   *tlsfiles.Identity
	Meter *Meter
	Log   *slog.Logger

	Exchange func(ctx context.Context, from string, in replication.Message) (replication.Message, error)
	Push     func(ctx context.Context, from string, in replication.Message) error
	Pull     func(ctx context.Context, from string, in replication.PullRequest) (replication.PullReply, error)
	Quota    func(ctx context.Context, from string, body []byte) ([]byte, error)
	Claim    func(ctx context.Context, from string, in ClaimRequest) (ClaimReply, error)
	Updates  func(ctx context.Context, in UpdatesRequest) (UpdatesReply, error)
	Tokens   func(ctx context.Context, in TokensRequest) (TokensReply, error)

	admission replication.BulkReplyLimiter
}

type fromKey struct{}

// Serve accepts connections until ctx ends, then closes the listener and all
// connections and returns when they are done.
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
				return Unreachable.Wrap(err, "accept")
			}
			// Such as too many open files, which ends when connections do.
			s.Log.Warn("control connection not accepted", "error", err)
			if !wait(ctx, acceptPause) {
				return nil
			}
			continue
		}
		s.Meter.Accepts.Add(1)
		conns.Go(func() {
			defer func() { <-slots }()
			s.serve(ctx, server, &metered{Conn: c, m: s.Meter})
		})
	}
}

// wait waits for d and returns false if ctx ended first.
func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) serve(ctx context.Context, server *drpcserver.Server, c net.Conn) {
	defer func() { _ = c.Close() }()
	from := ""
	if s.TLS != nil {
		t := tls.Server(c, s.TLS.Server())
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
	_ = server.ServeOne(context.WithValue(ctx, fromKey{}, from), c)
}

// HandleRPC dispatches one call.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) error {
	ctx := stream.Context()
	from, _ := ctx.Value(fromKey{}).(string)
	switch {
	case rpc == rpcExchange && s.Exchange != nil:
		return handle(stream, func(in *replication.Message) (any, error) {
			if err := claims(from, in.From); err != nil {
				return nil, err
			}
			out, err := s.Exchange(ctx, from, *in)
			return &out, err
		})
	case rpc == rpcPush && s.Push != nil:
		return handle(stream, func(in *replication.Message) (any, error) {
			if err := claims(from, in.From); err != nil {
				return nil, err
			}
			return &empty{}, s.Push(ctx, from, *in)
		})
	case rpc == rpcPull && s.Pull != nil:
		return s.handlePull(ctx, stream, from)
	case rpc == rpcQuota && s.Quota != nil:
		return handle(stream, func(in *raw) (any, error) {
			out, err := s.Quota(ctx, from, in.body)
			return &raw{body: out}, err
		})
	case rpc == rpcClaim && s.Claim != nil:
		return handle(stream, func(in *ClaimRequest) (any, error) {
			out, err := s.Claim(ctx, from, *in)
			return &out, err
		})
	case rpc == rpcUpdates && s.Updates != nil:
		return handle(stream, func(in *UpdatesRequest) (any, error) {
			out, err := s.Updates(ctx, *in)
			return &out, err
		})
	case rpc == rpcTokens && s.Tokens != nil:
		return handle(stream, func(in *TokensRequest) (any, error) {
			out, err := s.Tokens(ctx, *in)
			return &out, err
		})
	}
	return UnknownMethod.New("%s", rpc)
}

// claims compares the sender that a message names with the certificate.
func claims(from, claimed string) error {
	if from != "" && claimed != from {
		return WrongIdentity.New("certificate of %s, message of %s", from, claimed)
	}
	return nil
}

func handle[T any](stream drpc.Stream, f func(in *T) (any, error)) error {
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

// handlePull holds the admission of a bulk reply until it is sent.
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
	if !s.admission.Begin(size) {
		return stream.MsgSend(&replication.PullReply{Busy: true}, codec{})
	}
	defer s.admission.End(size)
	pack(&out)
	return stream.MsgSend(&out, codec{})
}
