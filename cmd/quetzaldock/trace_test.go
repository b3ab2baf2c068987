package main

import (
	"context"
	"net/http/httptrace"
)

// withConnectionTrace returns a context that makes net/http set connected once a
// request has a connection. A request that never had one was not sent.
func withConnectionTrace(ctx context.Context, connected *bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { *connected = true },
	})
}
