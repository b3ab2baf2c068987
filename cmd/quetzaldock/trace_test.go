package main

import (
	"context"
	"net/http/httptrace"
)

// withWroteHeaders sets sent once a request's header may have left, so that a
// caller knows that a request was never sent.
func withConnectionTrace(ctx context.Context, connected *bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { *connected = true },
	})
}
