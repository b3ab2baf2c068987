package configservice_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"quetzaldock.example/quetzaldock/internal/configservice"
)

// startRawService starts a service that answers each request with the text and resets the
// connection if reset is set, and otherwise closes it.
func startRawService(t *testing.T, text string, reset bool) *configservice.Client {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, text)
			}
			if reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	p := configservice.New("http://" + l.Addr().String())
	t.Cleanup(p.Close)
	return p
}

// Guards against broken answers whose value is used, perhaps in part.
func TestBrokenAnswersAreRefused(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nConnection: close\r\nRevision: 7\r\n"
	for _, c := range []struct {
		name, text string
		reset      bool
		want       *errorx.Type
	}{
		{"status 000", "HTTP/1.1 000 None\r\nRevision: 7\r\nConnection: close\r\n\r\nvalue", false, configservice.Failed},
		{"reset", ok + "\r\nval", true, configservice.Unreachable},
		{"control byte in a name", ok + "Bad\x01Name: x\r\n\r\nvalue", false, configservice.Unreachable},
		{"blank in a name", ok + "Bad Name: x\r\n\r\nvalue", false, configservice.Unreachable},
		{"blank after the name of the length", ok + "Content-Length : 5\r\n\r\nval", false, configservice.Unreachable},
	} {
		_, err := startRawService(t, c.text, c.reset).Read(t.Context(), "manifest")
		assert.Check(t, errorx.IsOfType(err, c.want), "%s: %v", c.name, err)
	}
	v, err := startRawService(t, ok+"\r\nvalue", false).Read(t.Context(), "manifest")
	assert.NilError(t, err)
	assert.Equal(t, string(v.Bytes), "value")
}
