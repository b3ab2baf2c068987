package standin

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// A link is one forwarded connection.
type link struct {
	proxy  *FaultProxy
	client net.Conn
	target net.Conn
	number uint64

	silenced    chan struct{}
	silenceOnce sync.Once
	mu          sync.Mutex // guards target until run has set it
	closed      chan struct{}
	closeOnce   sync.Once
}

// A piece is data on its way in one direction.
type chunk struct {
	data       []byte
	due        time.Time
	resetsLink bool
}

// run dials the target and forwards until both directions have ended.
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
	k.markDone()
	_ = k.client.Close()
	_ = c.Close()
}

func (k *link) markDone() { k.closeOnce.Do(func() { close(k.closed) }) }

// cut resets both sides.
func (k *link) resetBothSides() {
	k.markDone()
	reset(k.client)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.target != nil {
		reset(k.target)
	}
}

// forward carries one direction until its source ends or the link is cut.
func (k *link) forward(from, to net.Conn, toTarget bool) {
	chunks := make(chan chunk, maxBufferedChunks)
	go k.readChunks(from, chunks, toTarget)
	for p := range chunks {
		if !k.waitUntilDue(p.due, toTarget) {
			continue // keeps draining until the reader has ended
		}
		if p.resetsLink {
			_, _ = to.Write(p.data[:len(p.data)/2])
			k.resetBothSides()
			continue
		}
		if _, err := to.Write(p.data); err != nil {
			k.resetBothSides()
		}
	}
	select {
	case <-k.silenced:
		<-k.closed // the other side of a silent link hears no end either
	default:
	}
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// read cuts the source into pieces and decides on each piece's fate.
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
			p := chunk{data: b[:n], due: lastDue, resetsLink: r.IntN(1000) < s.CutPerMille}
			select {
			case chunks <- p:
			case <-k.closed:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// due is when a piece that arrives now is forwarded; last is the previous
// piece's time.
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

// wait returns true once the data may go on, and false when the link was cut
// or is silent, so that the data is dropped.
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
