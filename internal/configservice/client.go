// Package configservice is a client of the platform's configuration service, an
// HTTP service that stores values with revisions under keys. Nodes of package
// node read the manifest, the parts and the host list there. Package platform is
// the counterpart for nodes of package sidecar, which read another store.
package configservice

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/joomcode/errorx"

	"quetzaldock.example/quetzaldock/internal/http1"
	"quetzaldock.example/quetzaldock/pkg/config"
)

var namespace = errorx.NewNamespace("platform")

var (
	// Unreachable means that no complete and valid answer was received.
	Unreachable = namespace.NewType("unreachable", errorx.Temporary())
	// Throttled means that the service is over its capacity (status 429).
	Throttled = namespace.NewType("throttled", errorx.Temporary())
	// Failed means that the service answered with another unexpected status.
	Failed = namespace.NewType("failed", errorx.Temporary())
	// NotFound means that the service has no value for the key.
	NotFound = namespace.NewType("not_found", errorx.NotFound())
	// BadAnswer means that an answer cannot be used: it is over
	// config.MaxValueBytes, its revision is missing or malformed, or its revision
	// is below the one that a watch named.
	BadAnswer = namespace.NewType("bad_answer")
)

// readTimeout is the time limit of a read, and of a watch beyond its wait. The
// service usually answers in milliseconds.
const readTimeout = time.Second

// A Value is one value of the configuration service.
type Value struct {
	Bytes    []byte
	Revision uint64
}

// A Client reads the configuration service at one base URL. It does not retry:
// every call counts against the service's capacity, so the caller decides
// whether to read again.
type Client struct {
	rest  *resty.Client
	calls atomic.Int64
}

// New returns a client of the service at baseURL, for example
// "http://127.0.0.1:8500".
func New(baseURL string) *Client {
	c := resty.New().SetBaseURL(baseURL).SetRetryCount(0).SetResponseBodyLimit(config.MaxValueBytes)
	c.SetRedirectPolicy(resty.NoRedirectPolicy())
	c.OnAfterResponse(func(_ *resty.Client, r *resty.Response) error { return http1.CheckFieldNames(r.Header()) })
	c.SetTransport(&http.Transport{
		MaxIdleConns: 4, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, DisableCompression: true,
	})
	return &Client{rest: c}
}

// Calls returns the number of calls that the Client has made to the service.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Close closes idle connections.
func (c *Client) Close() { c.rest.GetClient().CloseIdleConnections() }

// Read returns the value of key.
func (c *Client) Read(ctx context.Context, key string) (Value, error) {
	v, _, err := c.get(ctx, key, nil, readTimeout)
	return v, err
}

// Watch waits up to wait for a value of key with a revision above afterRevision.
// It returns false if there was none. It fails with BadAnswer if the service's
// revision is below afterRevision, because the service then has lost values, for
// example after a restore.
func (c *Client) Watch(ctx context.Context, key string, afterRevision uint64, wait time.Duration) (Value, bool, error) {
	q := map[string]string{
		"after":   strconv.FormatUint(afterRevision, 10),
		"wait_ms": strconv.FormatInt(wait.Milliseconds(), 10),
	}
	v, changed, err := c.get(ctx, key, q, wait+readTimeout)
	if err == nil && v.Revision < afterRevision {
		return Value{}, false, BadAnswer.New("revision %d of %s is below %d", v.Revision, key, afterRevision)
	}
	return v, changed, err
}

func (c *Client) get(ctx context.Context, key string, query map[string]string, timeout time.Duration) (Value, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.calls.Add(1)
	a, err := c.rest.R().SetContext(ctx).SetQueryParams(query).Get("/v1/values/" + key)
	if errors.Is(err, resty.ErrResponseBodyTooLarge) {
		return Value{}, false, BadAnswer.New("value of %s has more than %d bytes", key, config.MaxValueBytes)
	}
	if err != nil {
		return Value{}, false, Unreachable.Wrap(err, "read of %s", key)
	}
	switch code := a.StatusCode(); {
	case code == http.StatusNotFound:
		return Value{}, false, NotFound.New("no value %s", key)
	case code == http.StatusTooManyRequests:
		return Value{}, false, Throttled.New("read of %s: status 429, service over its capacity", key)
	case code != http.StatusOK && (code != http.StatusNotModified || query == nil):
		return Value{}, false, Failed.New("read of %s: status %d", key, code)
	}
	rev, err := strconv.ParseUint(a.Header().Get("Revision"), 10, 64)
	if err != nil {
		return Value{}, false, BadAnswer.Wrap(err, "revision of %s", key)
	}
	return Value{Bytes: a.Body(), Revision: rev}, a.StatusCode() == http.StatusOK, nil
}
