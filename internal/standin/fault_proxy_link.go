package standin

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// A link is one connection that a proxy forwards.
type link struct {
	proxy  *FaultProxy
	client net.Conn // the connection that the proxy accepted
	target net.Conn // the connection that the proxy dialled
	number uint64   // counts the proxy's connections from 1

	silenced    chan struct{} // closed when the link is made silent
	silenceOnce sync.Once
	mu          sync.Mutex    // guards target until run has set it
	closed      chan struct{} // closed when the link ends
	closeOnce   sync.Once
}

// A chunk is data that one Read returned and that is to be forwarded.
type chunk struct {
	data       []byte
	due        time.Time // when to forward it
	resetsLink bool      // forward only half of it and reset the link
}

// run dials the target, once the direction to it is not held back, and forwards
// data until both directions have ended.
func (k *link) run() {
	defer k.proxy.removeLink(k)
	for {
		_, held, shapeChanged := k.proxy.directionState(true)
		if !held {
			break
		}
		select {
		case <-shapeChanged:
		case <-k.closed:
			return
		}
	}
	c, err := net.DialTimeout("tcp", k.proxy.Target, proxyDialTimeout)
	if err != nil {
		k.resetBothSides()
		return
	}
	k.mu.Lock()
	k.target = c
	k.mu.Unlock()
	select {
	case <-k.closed:
		reset(c)
		return
	default:
	}
	var wg sync.WaitGroup
	wg.Go(func() { k.forward(k.client, c, true) })
	wg.Go(func() { k.forward(c, k.client, false) })
	wg.Wait()
	k.markClosed()
	_ = k.client.Close()
	_ = c.Close()
}

func (k *link) markClosed() { k.closeOnce.Do(func() { close(k.closed) }) }

// resetBothSides ends the link with a reset of both connections.
func (k *link) resetBothSides() {
	k.markClosed()
	reset(k.client)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.target != nil {
		reset(k.target)
	}
}

// forward forwards one direction until its source ends or the link is reset.
func (k *link) forward(from, to net.Conn, toTarget bool) {
	chunks := make(chan chunk, maxBufferedChunks)
	go k.readChunks(from, chunks, toTarget)
	for c := range chunks {
		if !k.waitUntilDue(c.due, toTarget) {
			continue // drop the data, so that readChunks can end
		}
		if c.resetsLink {
			_, _ = to.Write(c.data[:len(c.data)/2])
			k.resetBothSides()
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			k.resetBothSides()
		}
	}
	select {
	case <-k.silenced:
		<-k.closed // do not pass on the end of one side of a silent link
	default:
	}
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// readChunks reads the source in chunks and decides for each chunk when it is
// due and whether it resets the link.
func (k *link) readChunks(from net.Conn, chunks chan<- chunk, toTarget bool) {
	defer close(chunks)
	direction := k.number << 1
	if toTarget {
		direction |= 1
	}
	r := rand.New(rand.NewPCG(k.proxy.Seed, direction))
	var lastDue time.Time
	for {
		b := make([]byte, maxChunkBytes)
		n, err := from.Read(b)
		if n > 0 {
			s, _, _ := k.proxy.directionState(toTarget)
			lastDue = s.dueTime(r, lastDue, n)
			c := chunk{data: b[:n], due: lastDue, resetsLink: r.IntN(1000) < s.CutPerMille}
			select {
			case chunks <- c:
			case <-k.closed:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// dueTime returns when to forward a chunk that arrives now. lastDue is the due
// time of the previous chunk.
func (s TrafficShape) dueTime(r *rand.Rand, lastDue time.Time, bytes int) time.Time {
	t := time.Now().Add(s.Delay)
	if s.Jitter > 0 {
		t = t.Add(time.Duration(r.Int64N(int64(s.Jitter))))
	}
	if t.Before(lastDue) {
		t = lastDue
	}
	if s.BytesPerSecond > 0 {
		t = t.Add(time.Duration(bytes) * time.Second / time.Duration(s.BytesPerSecond))
	}
	return t
}

// waitUntilDue waits until a chunk is due and its direction is not held back. It
// returns false if the chunk is to be dropped, because the link is closed or
// silent.
func (k *link) waitUntilDue(due time.Time, toTarget bool) bool {
	if d := time.Until(due); d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-k.closed:
			return false
		}
	}
	for {
		_, held, shapeChanged := k.proxy.directionState(toTarget)
		select {
		case <-k.silenced:
			return false
		case <-k.closed:
			return false
		default:
		}
		if !held {
			return true
		}
		select {
		case <-shapeChanged:
		case <-k.silenced:
		case <-k.closed:
		}
	}
}
