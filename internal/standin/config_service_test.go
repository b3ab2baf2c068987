package standin_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/standin"
	"quetzaldock.example/quetzaldock/pkg/hosts"
)

func startConfigService(t *testing.T) *standin.ConfigService {
	t.Helper()
	c := standin.NewConfigService()
	assert.NilError(t, c.Start())
	t.Cleanup(c.Close)
	return c
}

func readValue(t *testing.T, c *standin.ConfigService, query string) (status int, revision, body string) {
	t.Helper()
	return readURL(t, c.URL()+"/v1/values/"+query)
}

// readURL returns status 0 if no answer came within two seconds.
func readURL(t *testing.T, url string) (status int, revision, body string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	assert.NilError(t, err)
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", ""
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	assert.NilError(t, err)
	return a.StatusCode, a.Header.Get("Revision"), string(b)
}

// Guards against a watch that answers early, misses a write or does not end.
func TestConfigServiceWatch(t *testing.T) {
	c := startConfigService(t)
	status, _, _ := readValue(t, c, "parts/ab")
	assert.Equal(t, status, http.StatusNotFound)
	assert.NilError(t, c.Set("parts/ab", []byte("one")))
	status, rev, body := readValue(t, c, "parts/ab")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "one")
	status, same, _ := readValue(t, c, "parts/ab?after="+rev+"&wait_ms=20")
	assert.Equal(t, status, http.StatusNotModified)
	assert.Equal(t, same, rev)
	time.AfterFunc(20*time.Millisecond, func() { _ = c.Set("parts/ab", []byte("two")) })
	status, next, body := readValue(t, c, "parts/ab?after="+rev+"&wait_ms=1500")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, "two")
	assert.Assert(t, next != rev)
	assert.Equal(t, c.ReadCounts().Parts, 4)
}

// Guards against read faults that do not have the described effect.
func TestConfigServiceFaults(t *testing.T) {
	c := startConfigService(t)
	assert.NilError(t, c.Set("manifest", []byte("old")))
	assert.NilError(t, c.SetReadFault(standin.ServeStale))
	assert.NilError(t, c.Set("manifest", []byte("new")))
	_, _, body := readValue(t, c, "manifest")
	assert.Equal(t, body, "old")
	assert.NilError(t, c.SetReadFault(standin.FailReads))
	status, _, _ := readValue(t, c, "manifest")
	assert.Equal(t, status, http.StatusInternalServerError)
	assert.NilError(t, c.SetReadFault(standin.RefuseConnections))
	status, _, _ = readValue(t, c, "manifest")
	assert.Equal(t, status, 0)
	assert.NilError(t, c.SetReadFault(standin.HangReads))
	status, _, _ = readValue(t, c, "manifest")
	assert.Equal(t, status, 0)
	assert.NilError(t, c.SetReadFault(standin.NoFault))
	_, _, body = readValue(t, c, "manifest")
	assert.Equal(t, body, "new")
}

// Guards against publications that are consistent although a test asked for an
// inconsistent order, and against inconsistency that does not end.
func TestConfigServicePublicationOrders(t *testing.T) {
	c := startConfigService(t)
	c.SetPublicationOrder(standin.ManifestFirst, 200*time.Millisecond)
	assert.NilError(t, c.Publish([]byte("m1"), map[string][]byte{"aa": []byte("a")}))
	status, _, _ := readValue(t, c, "manifest")
	assert.Equal(t, status, http.StatusOK)
	status, _, _ = readValue(t, c, "parts/aa")
	assert.Equal(t, status, http.StatusNotFound)
	_, _, body := readValue(t, c, "parts/aa?after=0&wait_ms=1900")
	assert.Equal(t, body, "a")
	c.SetPublicationOrder(standin.WrongParts, 200*time.Millisecond)
	assert.NilError(t, c.Publish([]byte("m2"), map[string][]byte{"bb": []byte("b"), "cc": []byte("c")}))
	_, rev, body := readValue(t, c, "parts/bb")
	assert.Equal(t, body, "c")
	_, _, body = readValue(t, c, "parts/bb?after="+rev+"&wait_ms=1900")
	assert.Equal(t, body, "b")
}

// Guards against reads above the capacity that are answered, and against reads
// that are not counted.
func TestConfigServiceCapacity(t *testing.T) {
	c := startConfigService(t)
	c.MaxReadsPerSecond = 3
	assert.NilError(t, c.SetHosts(hosts.List{Hosts: []hosts.Host{{ID: "h-1", State: hosts.Live}}}))
	for range 3 {
		status, _, _ := readValue(t, c, "hosts")
		assert.Equal(t, status, http.StatusOK)
	}
	status, _, _ := readValue(t, c, "hosts")
	assert.Equal(t, status, http.StatusTooManyRequests)
	c.MaxReadsPerSecond = 0
	assert.NilError(t, c.SetHostsForView("z1", hosts.List{Hosts: []hosts.Host{{ID: "h-2"}}}))
	_, _, body := readURL(t, c.URL()+"/views/z1/v1/values/hosts")
	assert.Assert(t, strings.Contains(body, "h-2"), body)
	counts := c.ReadCounts()
	assert.Equal(t, counts.Hosts, 5)
	assert.Equal(t, counts.Throttled, 1)
	assert.Equal(t, counts.PeakPerSecond, 5)
}
