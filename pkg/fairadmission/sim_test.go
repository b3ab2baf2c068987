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

// An event is an action that a simulation runs at a time of its fake clock.
type event struct {
	at     time.Time
	seq    int
	action func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
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

// A simulation drives one controller and a model of its backend server on a fake
// clock.
type simulation struct {
	*clock
	rand       *rand.Rand
	controller *Controller
	events     events
	lastSeq    int
	waiting    []*waiter
	// meanService is the mean of the log-normal service time, whose logarithm has
	// a standard deviation of 0.5.
	meanService time.Duration
	// capacity returns the number of concurrent requests that the server can
	// take; nil means any number.
	capacity func() float64
	running  []*Slot
	excess   int // largest number of requests beyond the capacity
	// upAt is the time from which the server accepts connections.
	upAt    time.Time
	results map[string]*accountResult
}

type waiter struct {
	*PendingRequest
	started func(*Slot)
	ended   func()
}

// An accountResult counts one account's requests and records their latencies.
type accountResult struct {
	ended, succeeded int
	latency          *hdrhistogram.Histogram // microseconds
}

func newSimulation(ctl *Controller, c *clock, seed uint64) *simulation {
	return &simulation{clock: c, controller: ctl, rand: rand.New(rand.NewPCG(seed, 1)), results: map[string]*accountResult{}}
}

func (s *simulation) schedule(d time.Duration, action func()) {
	s.lastSeq++
	heap.Push(&s.events, event{s.t.Add(d), s.lastSeq, action})
}

func (s *simulation) run(d time.Duration) {
	end := s.t.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.t = e.at
		e.action()
		s.startAdmitted()
	}
	s.t = end
}

// startAdmitted starts the waiting requests that have got a slot.
func (s *simulation) startAdmitted() {
	if s.controller.Load().Queued == len(s.waiting) {
		return
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool {
		select {
		case <-w.Ready():
			if slot, err := w.Result(); err == nil {
				w.started(slot)
			} else {
				w.ended()
			}
			return true
		default:
			return false
		}
	})
}

func (s *simulation) scheduleTicks() {
	s.controller.Tick(s.t)
	s.schedule(tickInterval, s.scheduleTicks)
}

// send sends one request. name is the key of its result, account the account that
// the controller sees.
func (s *simulation) send(name, account string, timeout time.Duration) {
	result := s.results[name]
	if result == nil {
		result = &accountResult{latency: hdrhistogram.New(1, 60_000_000, 3)}
		s.results[name] = result
	}
	sent := s.t
	started := func(slot *Slot) {
		s.serve(slot, func() {
			result.ended++
			if d := s.t.Sub(sent); d <= timeout {
				result.succeeded++
				_ = result.latency.RecordValue(d.Microseconds())
			}
		})
	}
	slot, pending, err := s.controller.Offer(Request{Account: account, Deadline: sent.Add(timeout)})
	switch {
	case slot != nil:
		started(slot)
	case err == nil:
		s.waiting = append(s.waiting, &waiter{pending, started, func() { result.ended++ }})
	default:
		result.ended++
	}
}

// serve runs a request at the model of the server. Beyond the capacity, requests
// take longer.
func (s *simulation) serve(slot *Slot, onSuccess func()) {
	if s.t.Before(s.upAt) {
		s.schedule(time.Millisecond, func() { slot.Release(ConnectionRefused) })
		return
	}
	s.running = append(s.running, slot)
	d := float64(s.meanService) * math.Exp(0.5*s.rand.NormFloat64()-0.125)
	if s.capacity != nil {
		limit := s.capacity()
		s.excess = max(s.excess, len(s.running)-int(math.Ceil(limit)))
		d *= max(1, float64(len(s.running))/limit)
	}
	s.schedule(time.Duration(d), func() {
		i := slices.Index(s.running, slot)
		if i < 0 {
			return // the server was restarted
		}
		s.running = slices.Delete(s.running, i, i+1)
		slot.Release(Succeeded)
		onSuccess()
	})
}

// restart resets all running requests. The server is up again after 300 ms with a
// capacity of cold, which rises to slots within warmUp.
func (s *simulation) restart(slots, cold int, warmUp time.Duration) {
	s.upAt = s.t.Add(300 * time.Millisecond)
	s.capacity = func() float64 {
		progress := min(1, float64(s.t.Sub(s.upAt))/float64(warmUp))
		return float64(cold) + progress*float64(slots-cold)
	}
	dropped := s.running
	s.running = nil
	for _, slot := range dropped {
		slot.Release(ConnectionReset)
	}
	for range slots - len(dropped) {
		s.controller.IdleConnectionClosed()
	}
}

// sendAtRate sends requests at random times at a mean rate per second.
func (s *simulation) sendAtRate(name, account string, rate float64, timeout time.Duration) {
	s.schedule(time.Duration(s.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		s.send(name, account, timeout)
		s.sendAtRate(name, account, rate, timeout)
	})
}

// worstAccount compares the accounts other than except. It returns the lowest
// success ratio and the highest p99 latency, each divided by the median.
func (s *simulation) worstAccount(except string) (ratio, p99 float64, text string) {
	var ratios, p99s []float64
	for name, c := range s.results {
		if name == except {
			continue
		}
		ratios = append(ratios, float64(c.succeeded)/float64(c.ended))
		p99s = append(p99s, float64(c.latency.ValueAtQuantile(99)))
	}
	slices.Sort(ratios)
	slices.Sort(p99s)
	median := len(p99s) / 2
	text = fmt.Sprintf("success worst %.4f median %.4f, p99 worst %.1f ms median %.1f ms",
		ratios[0], ratios[median], p99s[len(p99s)-1]/1e3, p99s[median]/1e3)
	return ratios[0] / ratios[median], p99s[len(p99s)-1] / p99s[median], text
}
