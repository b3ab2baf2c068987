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
	done        chan struct{}
	doneOnce    sync.Once
}

// A piece is data on its way in one direction.
type piece struct {
	data []byte
	due  time.Time
	cut  bool
}

// run dials the target and forwards until both directions have ended.
func (k *link) run() {
	defer k.proxy.forget(k)
	for {
		_, held, changed := k.proxy.state(true)
		if !held {
			break
		}
		select {
		case <-changed:
		case <-k.done:
			return
		}
	}
	c, err := net.DialTimeout("tcp", k.proxy.Target, proxyDialTimeout)
	if err != nil {
		k.cut()
		return
	}
	k.mu.Lock()
	k.target = c
	k.mu.Unlock()
	select {
	case <-k.done:
		reset(c)
		return
	default:
	}
	var wg sync.WaitGroup
	wg.Go(func() { k.forward(k.client, c, true) })
	wg.Go(func() { k.forward(c, k.client, false) })
	wg.Wait()
	k.end()
	_ = k.client.Close()
	_ = c.Close()
}

func (k *link) end() { k.doneOnce.Do(func() { close(k.done) }) }

// cut resets both sides.
func (k *link) cut() {
	k.end()
	reset(k.client)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.target != nil {
		reset(k.target)
	}
}

// forward carries one direction until its source ends or the link is cut.
func (k *link) forward(from, to net.Conn, up bool) {
	pieces := make(chan piece, proxyPieces)
	go k.read(from, pieces, up)
	for p := range pieces {
		if !k.wait(p.due, up) {
			continue // keeps draining until the reader has ended
		}
		if p.cut {
			_, _ = to.Write(p.data[:len(p.data)/2])
			k.cut()
			continue
		}
		if _, err := to.Write(p.data); err != nil {
			k.cut()
		}
	}
	select {
	case <-k.silenced:
		<-k.done // the other side of a silent link hears no end either
	default:
	}
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// read cuts the source into pieces and decides on each piece's fate.
func (k *link) read(from net.Conn, pieces chan<- piece, up bool) {
	defer close(pieces)
	direction := k.number << 1
	if up {
		direction |= 1
	}
	r := rand.New(rand.NewPCG(k.proxy.Seed, direction))
	var last time.Time
	for {
		b := make([]byte, proxyChunk)
		n, err := from.Read(b)
		if n > 0 {
			s, _, _ := k.proxy.state(up)
			last = s.due(r, last, n)
			p := piece{data: b[:n], due: last, cut: r.IntN(1000) < s.CutPerMille}
			select {
			case pieces <- p:
			case <-k.done:
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
func (s TrafficShape) due(r *rand.Rand, last time.Time, bytes int) time.Time {
	t := time.Now().Add(s.Delay)
	if s.Jitter > 0 {
		t = t.Add(time.Duration(r.Int64N(int64(s.Jitter))))
	}
	if t.Before(last) {
		t = last
	}
	if s.BytesPerSecond > 0 {
		t = t.Add(time.Duration(bytes) * time.Second / time.Duration(s.BytesPerSecond))
	}
	return t
}

// wait returns true once the data may go on, and false when the link was cut
// or is silent, so that the data is dropped.
func (k *link) wait(due time.Time, up bool) bool {
	if d := time.Until(due); d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-k.done:
			return false
		}
	}
	for {
		_, held, changed := k.proxy.state(up)
		select {
		case <-k.silenced:
			return false
		case <-k.done:
			return false
		default:
		}
		if !held {
			return true
		}
		select {
		case <-changed:
		case <-k.silenced:
		case <-k.done:
		}
	}
}
