package stand

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// A Client sends one request at a time on a connection that it keeps.
type Client struct {
	Address string
	conn    net.Conn
	in      *bufio.Reader
}

// A Request is one client attempt.
type Request struct {
	Method, Host, Target, ID, Key string
	Deadline                      time.Duration
	Body                          []byte
}

// An Answer is what the client has read. Err is set if the connection ended before the
// end of a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
	// Sent is set once the whole request was written.
	Sent bool
}

// Do sends a request and reads its answer. It never sends a request again.
func (c *Client) Do(r Request) Answer {
	if c.conn == nil {
		n, err := net.DialTimeout("tcp", c.Address, time.Second)
		if err != nil {
			return Answer{Err: err}
		}
		c.conn, c.in = n, bufio.NewReader(n)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", r.Method, r.Target, r.Host, HeaderRequestID, r.ID, HeaderDeadline, r.Deadline.Milliseconds())
	if r.Key != "" {
		fmt.Fprintf(&b, "%s: %s\r\n", HeaderKey, r.Key)
	}
	if r.Method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	_ = c.conn.SetDeadline(time.Now().Add(r.Deadline + 2*time.Second))
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		c.Close()
		return Answer{Err: err}
	}
	a, err := http.ReadResponse(c.in, &http.Request{Method: r.Method})
	if err != nil {
		c.Close()
		return Answer{Err: err, Sent: true}
	}
	body, err := io.ReadAll(a.Body)
	_ = a.Body.Close()
	if err != nil || a.Close {
		c.Close()
	}
	return Answer{Status: a.StatusCode, Header: a.Header, Body: body, Err: err, Sent: true}
}

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
