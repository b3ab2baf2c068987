package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// A Request is one request of a client.
type Request struct {
	Method, Target, Host, ID, Key string
	DeadlineMs                    int
	Body                          string
}

// An Answer is what a client got.
type Answer struct {
	Status    int
	Signature string
	Body      string
}

// Send sends a request on a new connection and reads the answer.
func Send(address string, q *Request) (*Answer, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nQuetzaldock-Request-Id: %s\r\nQuetzaldock-Deadline-Ms: %d\r\nConnection: close\r\n", q.Method, q.Target, q.Host, q.ID, q.DeadlineMs)
	if q.Key != "" {
		fmt.Fprintf(&b, "Quetzaldock-Credential: %s\r\n", q.Key)
	}
	if q.Body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	b.WriteString("\r\n" + q.Body)
	return exchange(address, q.Method, b.String(), time.Duration(q.DeadlineMs)*time.Millisecond)
}

// Get sends a request without headers of the system.
func Get(address, target string, timeout time.Duration) (*Answer, error) {
	return exchange(address, "GET", fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", target, address), timeout)
}

func exchange(address, method, request string, timeout time.Duration) (*Answer, error) {
	end := time.Now().Add(timeout)
	c, err := net.DialTimeout("tcp", address, min(timeout, time.Second))
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(end)
	if _, err := io.WriteString(c, request); err != nil {
		return nil, err
	}
	a, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return nil, err
	}
	return &Answer{a.StatusCode, a.Header.Get("Quetzaldock-Server-Signature"), string(body)}, nil
}
