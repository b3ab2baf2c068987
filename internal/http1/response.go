package http1

import (
	"errors"
	"net"
	"net/http"

	"github.com/joomcode/errorx"
)

const (
	// maxHeaderBytes is the maximum size of a response's header, including
	// those of interim responses. http.ReadResponse sets no limit, so that one
	// header of a broken peer could use up the memory.
	maxHeaderBytes = 128 << 10
	// maxErrorBytes limits the text of an error that may quote the response.
	maxErrorBytes = 100
	// protocolName begins each response. The minor version follows it.
	protocolName = "HTTP/1."
	// statusDigits is the number of digits of a status.
	statusDigits = 3
)

// readResponse skips interim responses and reads the header of the final response.
// onContinue is called for each interim response 100.
func (c *conn) readResponse(r *http.Request, onContinue func()) (*http.Response, error) {
	c.limitedIn.limited, c.limitedIn.remaining = true, maxHeaderBytes
	defer func() { c.limitedIn.limited = false }()
	for {
		a, err := c.readHeader(r)
		switch {
		case err != nil && c.limitedIn.remaining <= 0:
			return nil, Malformed.New("the header of the answer exceeds %d bytes", maxHeaderBytes)
		case err != nil:
			return nil, shortenParseError(err)
		}
		if a.StatusCode == http.StatusSwitchingProtocols {
			// No request asks for an upgrade. What follows would not be HTTP.
			return nil, Malformed.New("the peer switches protocols unasked")
		}
		if a.StatusCode >= http.StatusOK {
			return a, nil
		}
		if a.StatusCode == http.StatusContinue {
			onContinue()
		}
	}
}

// shortenParseError returns a short Malformed error for an error of the parser of
// net/http, whose text may hold a whole line of the response.
func shortenParseError(err error) error {
	var n net.Error
	if isClosedByPeer(err) || errors.As(err, &n) || errorx.IsOfType(err, Malformed) {
		return err
	}
	return Malformed.New("the answer cannot be read: %.*s", maxErrorBytes, err)
}

// readHeader reads the header of a response, which may be an interim one.
func (c *conn) readHeader(r *http.Request) (*http.Response, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if err := c.limitedIn.beginHeader(buffered); err != nil {
		return nil, err
	}
	if err := c.checkStatusLine(); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, r)
}

// checkStatusLine fails at the first byte that cannot belong to the version and the
// status of a response. http.ReadResponse would wait for the end of the header, and
// accepts other versions than HTTP/1.x, signs, and statuses outside of 100 to 599.
func (c *conn) checkStatusLine() error {
	digits := 0
	for n := 1; digits <= statusDigits; n++ {
		b, err := c.reader.Peek(n)
		if err != nil {
			return err
		}
		last, valid := b[n-1], false
		switch position := n - len(protocolName); {
		case position <= 0:
			valid = last == protocolName[n-1]
		case position == 1: // the minor version
			valid = isDigit(last)
		case position == 2 || digits == 0 && last == ' ':
			// More than one space is tolerated, as by http.ReadResponse.
			valid = last == ' '
		default:
			valid = isStatusByte(digits, last)
			digits++
		}
		if !valid {
			return Malformed.New("the answer begins with %.*q", maxErrorBytes, b)
		}
	}
	return nil
}

// isStatusByte reports whether b can be at the index of a status, or follow it.
func isStatusByte(index int, b byte) bool {
	switch index {
	case 0:
		return b >= '1' && b <= '5'
	case statusDigits:
		return b == ' ' || b == '\r' || b == '\n'
	}
	return isDigit(b)
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }
