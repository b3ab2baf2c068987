// Package configservice reads and watches the platform's configuration service.
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

	"quetzaldock.example/quetzaldock/pkg/config"
)

var namespace = errorx.NewNamespace("platform")

var (
	// Unreachable means that no whole answer came.
	Unreachable = namespace.NewType("unreachable", errorx.Temporary())
	// Throttled means that the service is over its capacity (429).
	Throttled = namespace.NewType("throttled", errorx.Temporary())
	// Failed means that the service answered with another failure.
	Failed = namespace.NewType("failed", errorx.Temporary())
	// NotFound means that the service has no value under the key.
	NotFound = namespace.NewType("not_found", errorx.NotFound())
	// BadAnswer means that an answer cannot be used: it is too large or its
	// revision is missing or below the one asked for.
	BadAnswer = namespace.NewType("bad_answer")
)

// readTimeout is the time for an answer beyond the wait of a watch. The
// service answers in milliseconds.
const readTimeout = time.Second

// A Value is one value of the configuration service.
type Value struct {
	Bytes    []byte
	Revision uint64
}

// A Client reads the configuration service at one base URL. Failed reads are
// not repeated: every call counts against the service's capacity, so the
// caller decides.
type Client struct {
	rest  *resty.Client
	calls atomic.Int64
}

// New returns a client of the service at base, for example
// "http://127.0.0.1:8500".
func New(base string) *Client {
	c := resty.New().SetBaseURL(base).SetRetryCount(0).SetResponseBodyLimit(config.MaxValueBytes)
	c.SetRedirectPolicy(resty.NoRedirectPolicy())
	c.SetTransport(&http.Transport{
		MaxIdleConns: 4, MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, DisableCompression: true,
	})
	return &Client{rest: c}
}

// Calls returns the number of calls since the start.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Close closes idle connections.
func (c *Client) Close() { c.rest.GetClient().CloseIdleConnections() }

// Read returns the value under key.
func (c *Client) Read(ctx context.Context, key string) (Value, error) {
	v, _, err := c.get(ctx, key, nil, readTimeout)
	return v, err
}

// Watch waits up to wait for a value under key with a revision above after. It
// returns false if there was none. It fails with BadAnswer when the service's
// revision is below after: the service went back in time.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, bool, error) {
	q := map[string]string{
		"after":   strconv.FormatUint(after, 10),
		"wait_ms": strconv.FormatInt(wait.Milliseconds(), 10),
	}
	v, changed, err := c.get(ctx, key, q, wait+readTimeout)
	if err == nil && v.Revision < after {
		return Value{}, false, BadAnswer.New("revision %d of %s is below %d", v.Revision, key, after)
	}
	return v, changed, err
}

func (c *Client) get(ctx context.Context, key string, query map[string]string, timeout time.Duration) (Value, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.calls.Add(1)
	a, err := c.rest.R().SetContext(ctx).SetQueryParams(query).Get("/v1/values/" + key)
	if errors.Is(err, resty.ErrResponseBodyTooLarge) {
		return Value{}, false, BadAnswer.New("%s has over %d bytes", key, config.MaxValueBytes)
	}
	if err != nil {
		return Value{}, false, Unreachable.Wrap(err, "read of %s", key)
	}
	switch code := a.StatusCode(); {
	case code == http.StatusNotFound:
		return Value{}, false, NotFound.New("no value %s", key)
	case code == http.StatusTooManyRequests:
		return Value{}, false, Throttled.New("read of %s", key)
	case code != http.StatusOK && (code != http.StatusNotModified || query == nil):
		return Value{}, false, Failed.New("read of %s: status %d", key, code)
	}
	rev, err := strconv.ParseUint(a.Header().Get("Revision"), 10, 64)
	if err != nil {
		return Value{}, false, BadAnswer.Wrap(err, "revision of %s", key)
	}
	return Value{Bytes: a.Body(), Revision: rev}, a.StatusCode() == http.StatusOK, nil
}
