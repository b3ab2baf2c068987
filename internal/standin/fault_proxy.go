package standin

import (
	"net"
	"sync"
	"time"
)

const (
	// proxyChunk is the largest piece of data that a proxy delays as one.
	maxChunkBytes = 16 << 10
	// proxyPieces bounds the pieces on their way in one direction of a link.
	maxBufferedChunks = 64
	// proxyDialTimeout bounds a dial to the target.
	proxyDialTimeout = 5 * time.Second
)

// A Shape is what a FaultProxy does to one direction of its links. It takes
// effect on open links at once.
type TrafficShape struct {
	// Delay plus a random part of Jitter is added to each piece of data; the
	// order of the data is kept.
	Delay  time.Duration
	Jitter time.Duration
	// BytesPerSecond limits each link; 0 means no limit.
	BytesPerSecond int
	// CutPerMille is the chance, in 1,000, that a piece of data is forwarded
	// by half and the link reset on both sides.
	CutPerMille int
	// Hold keeps the data back until Hold is false again, as TCP does while
	// packets are lost.
	Hold bool
}

// A FaultProxy forwards TCP connections to Target and brings about faults of
// the network between two processes. Its random choices follow Seed and the
// order in which connections arrive. Fields are set before Start.
type FaultProxy struct {
	Target string
	Seed   uint64

	mu            sync.Mutex
	listener      net.Listener
	toTarget      TrafficShape // from the dialling side to Target
	fromTarget    TrafficShape
	partitioned   bool
	refusing      bool
	shapeChanged  chan struct{} // closed when a shape changes
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

// Address is the IP address and port that the proxy listens on.
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

// SetUp shapes the direction from the dialling side to the target.
func (p *FaultProxy) SetShapeToTarget(s TrafficShape) { p.change(func() { p.toTarget = s }) }

// SetDown shapes the direction from the target to the dialling side.
func (p *FaultProxy) SetShapeFromTarget(s TrafficShape) { p.change(func() { p.fromTarget = s }) }

// Partition holds the data of all links and does not serve new ones until it
// is called with false. Dials succeed meanwhile, as on loopback the kernel
// accepts them.
func (p *FaultProxy) SetPartitioned(on bool) { p.change(func() { p.partitioned = on }) }

// Refuse resets all links and new ones until it is called with false.
func (p *FaultProxy) SetRefusing(on bool) {
	p.change(func() { p.refusing = on })
	if on {
		p.ResetOpenLinks()
	}
}

func (p *FaultProxy) change(apply func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	apply()
	close(p.shapeChanged)
	p.shapeChanged = make(chan struct{})
}

// SilenceOpen makes the open links silent for good, while new ones work. It
// returns how many there were.
func (p *FaultProxy) SilenceOpenLinks() int {
	links := p.openLinks()
	for _, k := range links {
		k.silenceOnce.Do(func() { close(k.silenced) })
	}
	return len(links)
}

// ResetOpen resets the open links on both sides.
func (p *FaultProxy) ResetOpenLinks() {
	for _, k := range p.openLinks() {
		k.resetBothSides()
	}
}

// Links is the number of open links.
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

// state returns the shape of a direction, whether its data is held, and the
// channel that is closed at the next change.
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
