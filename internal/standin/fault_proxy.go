package standin

import (
	"net"
	"sync"
	"time"
)

const (
	// maxChunkBytes is the maximum size of a chunk, the unit of data that a
	// proxy delays, forwards or cuts.
	maxChunkBytes = 16 << 10
	// maxBufferedChunks is the maximum number of chunks that one direction of a
	// link holds back.
	maxBufferedChunks = 64
	// proxyDialTimeout limits a dial to the target.
	proxyDialTimeout = 5 * time.Second
)

// A TrafficShape says how a FaultProxy delays, limits or cuts the data in one
// direction of its links. A change takes effect on open links at once.
type TrafficShape struct {
	// Each chunk of data is delayed by Delay plus a random part of Jitter. The
	// order of the data is kept.
	Delay  time.Duration
	Jitter time.Duration
	// BytesPerSecond limits each link; 0 means no limit.
	BytesPerSecond int
	// CutPerMille is the probability, in 1/1000, that the proxy forwards only
	// the first half of a chunk and then resets the link on both sides.
	CutPerMille int
	// Hold keeps the data back as long as it is set, as TCP does while packets
	// are lost.
	Hold bool
}

// A FaultProxy forwards TCP connections to Target and imitates faults of the
// network between two processes. Its random choices depend only on Seed and the
// order in which connections and chunks arrive. Fields are set before Start.
type FaultProxy struct {
	// Target is the IP address and port to which connections are forwarded.
	Target string
	Seed   uint64

	mu            sync.Mutex
	listener      net.Listener
	toTarget      TrafficShape // of data from the dialling side to Target
	fromTarget    TrafficShape // of data from Target to the dialling side
	partitioned   bool
	refusing      bool
	shapeChanged  chan struct{} // closed when a shape, partitioned or refusing changes
	links         map[*link]struct{}
	acceptedCount uint64
}

// NewFaultProxy returns a proxy without faults.
func NewFaultProxy(target string, seed uint64) *FaultProxy {
	return &FaultProxy{Target: target, Seed: seed, shapeChanged: make(chan struct{}), links: map[*link]struct{}{}}
}

// Start listens on a free loopback port.
func (p *FaultProxy) Start() error { return p.StartAt("127.0.0.1:0") }

// StartAt listens on the address.
func (p *FaultProxy) StartAt(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return ListenFailed.Wrap(err, "cannot listen on %s", address)
	}
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go p.accept(l)
	return nil
}

// Address returns the IP address and port that the proxy listens on.
func (p *FaultProxy) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr().String()
}

// Close stops listening and resets all links.
func (p *FaultProxy) Close() {
	p.mu.Lock()
	_ = p.listener.Close()
	p.mu.Unlock()
	p.ResetOpenLinks()
}

// SetShapeToTarget shapes the direction from the dialling side to the target.
func (p *FaultProxy) SetShapeToTarget(s TrafficShape) { p.change(func() { p.toTarget = s }) }

// SetShapeFromTarget shapes the direction from the target to the dialling side.
func (p *FaultProxy) SetShapeFromTarget(s TrafficShape) { p.change(func() { p.fromTarget = s }) }

// SetPartitioned switches a partition on or off. While it is on, the proxy holds
// the data of all links and does not serve new ones. Dials still succeed, because
// the kernel accepts connections on loopback.
func (p *FaultProxy) SetPartitioned(on bool) { p.change(func() { p.partitioned = on }) }

// SetRefusing switches refusal on or off. Switching it on resets the open links,
// and while it is on the proxy resets each new connection.
func (p *FaultProxy) SetRefusing(on bool) {
	p.change(func() { p.refusing = on })
	if on {
		p.ResetOpenLinks()
	}
}

// change applies a change of the proxy's state and wakes the links that wait.
func (p *FaultProxy) change(apply func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	apply()
	close(p.shapeChanged)
	p.shapeChanged = make(chan struct{})
}

// SilenceOpenLinks makes the open links permanently silent, without closing
// them, while new links work. It returns their number.
func (p *FaultProxy) SilenceOpenLinks() int {
	links := p.openLinks()
	for _, k := range links {
		k.silenceOnce.Do(func() { close(k.silenced) })
	}
	return len(links)
}

// ResetOpenLinks resets the open links on both sides.
func (p *FaultProxy) ResetOpenLinks() {
	for _, k := range p.openLinks() {
		k.resetBothSides()
	}
}

// OpenLinkCount returns the number of open links.
func (p *FaultProxy) OpenLinkCount() int { return len(p.openLinks()) }

func (p *FaultProxy) openLinks() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*link, 0, len(p.links))
	for k := range p.links {
		out = append(out, k)
	}
	return out
}

func (p *FaultProxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		refusing := p.refusing
		p.acceptedCount++
		k := &link{proxy: p, client: c, number: p.acceptedCount, closed: make(chan struct{}), silenced: make(chan struct{})}
		if !refusing {
			p.links[k] = struct{}{}
		}
		p.mu.Unlock()
		if refusing {
			reset(c)
			continue
		}
		go k.run()
	}
}

// directionState returns the shape of one direction, whether its data is held
// back, and the channel that is closed at the next change.
func (p *FaultProxy) directionState(toTarget bool) (s TrafficShape, held bool, shapeChanged chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s = p.fromTarget
	if toTarget {
		s = p.toTarget
	}
	return s, p.partitioned || s.Hold, p.shapeChanged
}

func (p *FaultProxy) removeLink(k *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, k)
}
