package fairadmission

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// An event is something that a trial does at a time of its fake clock.
type event struct {
	at time.Time
	n  int
	do func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].n < e[j].n
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// A trial drives one gate and a model of its backend server on a fake clock.
type trial struct {
	*clock
	rand    *rand.Rand
	gate    *Controller
	events  events
	count   int
	waiting []*waiter
	// service is the mean service time; its logarithm has sigma 0.5.
	service time.Duration
	// bears returns the calls that the server bears at once, nil for any.
	bears   func() float64
	tickets []*Slot
	excess  int // largest number of calls beyond what the server bears
	// upAt is the time from which the server accepts connections.
	upAt    time.Time
	clients map[string]*client
}

type waiter struct {
	*PendingRequest
	started func(*Slot)
	ended   func()
}

// A client is one account's results.
type client struct {
	ended, good int
	latency     *hdrhistogram.Histogram // microseconds
}

func newTrial(g *Controller, c *clock, seed uint64) *trial {
	return &trial{clock: c, gate: g, rand: rand.New(rand.NewPCG(seed, 1)), clients: map[string]*client{}}
}

func (s *trial) after(d time.Duration, do func()) {
	s.count++
	heap.Push(&s.events, event{s.t.Add(d), s.count, do})
}

func (s *trial) run(d time.Duration) {
	end := s.t.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.t = e.at
		e.do()
		s.settle()
	}
	s.t = end
}

// settle starts the waiting calls that the gate has let in.
func (s *trial) settle() {
	if s.gate.Load().Queued == len(s.waiting) {
		return
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool {
		select {
		case <-w.Ready():
			if t, err := w.Result(); err == nil {
				w.started(t)
			} else {
				w.ended()
			}
			return true
		default:
			return false
		}
	})
}

func (s *trial) ticks() {
	s.gate.Tick(s.t)
	s.after(tickInterval, s.ticks)
}

// send sends one call; queue is the account that the gate sees.
func (s *trial) send(name, queue string, timeout time.Duration) {
	c := s.clients[name]
	if c == nil {
		c = &client{latency: hdrhistogram.New(1, 60_000_000, 3)}
		s.clients[name] = c
	}
	sent := s.t
	started := func(t *Slot) {
		s.serve(t, func() {
			c.ended++
			if d := s.t.Sub(sent); d <= timeout {
				c.good++
				_ = c.latency.RecordValue(d.Microseconds())
			}
		})
	}
	t, p, err := s.gate.Offer(Request{Account: queue, Deadline: sent.Add(timeout)})
	switch {
	case t != nil:
		started(t)
	case err == nil:
		s.waiting = append(s.waiting, &waiter{p, started, func() { c.ended++ }})
	default:
		c.ended++
	}
}

// serve runs a call at the model of the server. Beyond what the server
// bears, calls take longer.
func (s *trial) serve(t *Slot, good func()) {
	if s.t.Before(s.upAt) {
		s.after(time.Millisecond, func() { t.Release(ConnectionRefused) })
		return
	}
	s.tickets = append(s.tickets, t)
	d := float64(s.service) * math.Exp(0.5*s.rand.NormFloat64()-0.125)
	if s.bears != nil {
		n := s.bears()
		s.excess = max(s.excess, len(s.tickets)-int(math.Ceil(n)))
		d *= max(1, float64(len(s.tickets))/n)
	}
	s.after(time.Duration(d), func() {
		i := slices.Index(s.tickets, t)
		if i < 0 {
			return // the server was restarted
		}
		s.tickets = slices.Delete(s.tickets, i, i+1)
		t.Release(Succeeded)
		good()
	})
}

// restart drops what runs at the server, which starts cold after 300 ms and
// bears more from then on, all slots after warmUp.
func (s *trial) restart(slots, cold int, warmUp time.Duration) {
	s.upAt = s.t.Add(300 * time.Millisecond)
	s.bears = func() float64 {
		part := min(1, float64(s.t.Sub(s.upAt))/float64(warmUp))
		return float64(cold) + part*float64(slots-cold)
	}
	dropped := s.tickets
	s.tickets = nil
	for _, t := range dropped {
		t.Release(ConnectionReset)
	}
	for range slots - len(dropped) {
		s.gate.IdleConnectionClosed()
	}
}

// offer sends calls at random times at a mean rate per second.
func (s *trial) offer(name, queue string, rate float64, timeout time.Duration) {
	s.after(time.Duration(s.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		s.send(name, queue, timeout)
		s.offer(name, queue, rate, timeout)
	})
}

// worst compares the accounts other than except: the lowest share of good
// calls, and the highest p99 over the median p99.
func (s *trial) worst(except string) (share, p99 float64, text string) {
	var shares, tails []float64
	for name, c := range s.clients {
		if name == except {
			continue
		}
		shares = append(shares, float64(c.good)/float64(c.ended))
		tails = append(tails, float64(c.latency.ValueAtQuantile(99)))
	}
	slices.Sort(shares)
	slices.Sort(tails)
	mid := len(tails) / 2
	text = fmt.Sprintf("success worst %.4f median %.4f, p99 worst %.1f ms median %.1f ms",
		shares[0], shares[mid], tails[len(tails)-1]/1e3, tails[mid]/1e3)
	return shares[0] / shares[mid], tails[len(tails)-1] / tails[mid], text
}
