package http1

import (
	"bytes"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// A headerPosition is the place of the next byte of a header.
type headerPosition int

const (
	// inLine is in the status line or in the value of a field.
	inLine headerPosition = iota
	atLineStart
	// afterReturn is after a carriage return that begins a line.
	afterReturn
	inFieldName
	afterHeader
)

// A fieldNameCheck checks the names of the fields of a response while its header arrives.
// http.ReadResponse accepts names with a space, and joins a line that begins with a space
// or a tab to the one before. The length of the body could be in such a line, and other
// parsers might see a field there that this one does not.
//
// The zero value is ready for the start of a response.
type fieldNameCheck struct{ position headerPosition }

// add checks the next bytes of the response. Those that follow the header are ignored.
// The error is of type Malformed.
func (f *fieldNameCheck) add(b []byte) error {
	for len(b) > 0 && f.position != afterHeader {
		if f.position == inLine {
			end := bytes.IndexByte(b, '\n')
			if end < 0 {
				return nil
			}
			f.position, b = atLineStart, b[end+1:]
			continue
		}
		if !f.advance(b[0]) {
			return Malformed.New("the name of a field in the answer has the byte %q", b[0])
		}
		b = b[1:]
	}
	return nil
}

// advance moves on by a byte of the name of a field or of the empty line that ends the
// header, and reports whether the byte is valid there.
func (f *fieldNameCheck) advance(x byte) bool {
	switch {
	case x == '\n' && (f.position == atLineStart || f.position == afterReturn):
		f.position = afterHeader
	case x == '\r' && f.position == atLineStart:
		f.position = afterReturn
	case x == ':' && f.position == inFieldName:
		f.position = inLine
	case httpguts.IsTokenRune(rune(x)) && f.position != afterReturn:
		f.position = inFieldName
	default:
		return false
	}
	return true
}

// CheckFieldNames returns an error of type Malformed if a header or trailer that net/http
// has read has a field whose name is no token, see RFC 9110, section 5.1. Fields without a
// value are ignored: a trailer has them for the names that were only announced.
func CheckFieldNames(h http.Header) error {
	for name, values := range h {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return Malformed.New("the answer has a field with the name %.*q", maxErrorBytes, name)
		}
	}
	return nil
}
