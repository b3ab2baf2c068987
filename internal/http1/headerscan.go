package http1

import "bytes"

// A headerScan counts the bytes and lines of a header as they arrive, and what was sent
// after it. It does not parse them.
type headerScan struct {
	// bytes and lines include those that were sent ahead with the request before, which
	// may be more than belong to this header.
	bytes, lines int
	// ended is set once the empty line after the header was read.
	ended bool
	// newLines counts the lines that were read for this header, and lineBytes the bytes
	// of the last line read if it is incomplete.
	newLines, lineBytes int
	// bodyLeft is how much of the body is still to arrive, negative if that is not
	// known.
	bodyLeft int64
	// aheadBytes and aheadLines count what was read after the header and body, or at
	// most their last read if the length of the body is not known.
	aheadBytes, aheadLines int
	// sentAhead is set if bytes may have been sent ahead with the request before, and
	// pipelined if they certainly were.
	sentAhead, pipelined bool
}

// fields returns the number of complete fields that were read for this header. The
// request line is not one.
func (h *headerScan) fields() int { return h.newLines - 1 }

// add counts bytes of the header and of what follows it.
func (h *headerScan) add(b []byte) {
	for len(b) > 0 {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			h.bytes += len(b)
			h.lineBytes += len(b)
			return
		}
		line := h.lineBytes + i
		empty := line == 0 || line == 1 && (i == 0 || b[0] == '\r')
		h.bytes += i + 1
		h.lineBytes = 0
		b = b[i+1:]
		if empty && (h.newLines > 0 || h.sentAhead) {
			h.ended = true
			h.addAhead(b)
			return
		}
		h.newLines++
		h.lines++
	}
}

var newline = []byte{'\n'}

// beginBody is called when net/http has read the header. size is that of the body,
// negative if it is not known.
func (h *headerScan) beginBody(size int64) {
	if !h.ended {
		// The header was sent ahead. What follows it is not known.
		h.ended, h.aheadBytes, h.aheadLines = true, h.bytes, h.lines
	}
	h.bodyLeft = size
	if size > 0 {
		body := int(min(size, int64(h.aheadBytes)))
		h.bodyLeft -= int64(body)
		h.aheadBytes -= body
		h.aheadLines = min(h.aheadLines, h.aheadBytes)
	}
}

// addAfterHeader counts bytes of the body and of what follows it.
func (h *headerScan) addAfterHeader(b []byte) {
	if h.bodyLeft < 0 {
		// Only the last read can hold bytes that follow the body.
		h.aheadBytes, h.aheadLines = 0, 0
		h.addAhead(b)
		return
	}
	n := int(min(h.bodyLeft, int64(len(b))))
	h.bodyLeft -= int64(n)
	h.addAhead(b[n:])
}

// addAhead counts bytes that may belong to the next header.
func (h *headerScan) addAhead(b []byte) {
	h.aheadBytes += len(b)
	h.aheadLines += bytes.Count(b, newline)
	if i := bytes.LastIndexByte(b, '\n'); i >= 0 {
		h.lineBytes = len(b) - i - 1
	} else {
		h.lineBytes += len(b)
	}
}

// next is called when the next header is awaited.
func (h *headerScan) next() {
	ahead, lineBytes := h.aheadBytes > 0, h.lineBytes
	*h = headerScan{bytes: h.aheadBytes, lines: h.aheadLines, sentAhead: ahead, pipelined: ahead && h.bodyLeft >= 0}
	if ahead {
		h.lineBytes = lineBytes
	}
}
