package pace

import (
	"math"
	"sync"
	"time"
)

const (
	// staleAfter is the age after which a stated pace no longer counts. Health checks
	// bring one each second, and take up to another second under load.
	staleAfter = 2 * time.Second
	// smoothing is the time constant with which the present pace follows the stated
	// one. A request takes 80 ms or more, so that it meets the mean of such a time
	// and no single value.
	smoothing = 80 * time.Millisecond
)

// sensitivities are the exponents with which durations may depend on the stated pace: 0
// if they do not, 1 if all of a request's time does, and between if it also waits for
// other servers.
var sensitivities = [...]float64{0, 0.5, 1}

// work holds a value for each of the sensitivities.
type work [len(sensitivities)]float64

// A Tracker tracks the pace of one server. It follows what the server states as long as
// that explains the observed durations. The zero value is ready to use. It is safe for
// concurrent use.
type Tracker struct {
	mu sync.Mutex
	// statedAt is the time of the last statement; zero before the first one.
	statedAt time.Time
	// since is the time from which on statements followed each other without a gap of
	// staleAfter.
	since  time.Time
	stated float64
	// rate is the work done per second at the stated pace, relative to usual, and
	// smoothed its moving average.
	rate, smoothed work
	// done is the work that a server running all the time has done up to statedAt, in
	// seconds at the usual pace.
	done work
	fit  fit
}

// State records that the server stated a pace.
func (t *Tracker) State(stated float64, now time.Time) {
	if !Plausible(stated) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stated = stated
	var rate work
	for i, s := range sensitivities {
		rate[i] = math.Pow(stated, -s)
	}
	gap := now.Sub(t.statedAt)
	if t.statedAt.IsZero() || gap > staleAfter {
		t.statedAt, t.since, t.rate, t.smoothed = now, now, rate, rate
		return
	}
	if gap < 0 {
		return
	}
	// The pace changed at some time between the statements, on average in the middle.
	weight := 1 - math.Exp(-gap.Seconds()/2/smoothing.Seconds())
	for i := range sensitivities {
		t.done[i] += gap.Seconds() * (t.rate[i] + rate[i]) / 2
		t.smoothed[i] += weight * (t.rate[i] - t.smoothed[i])
		t.smoothed[i] += weight * (rate[i] - t.smoothed[i])
	}
	t.statedAt, t.rate = now, rate
}

// Pace returns the present pace, or 0 if none was stated of late or if the durations
// contradict what was stated.
func (t *Tracker) Pace(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pace(now)
}

func (t *Tracker) pace(now time.Time) float64 {
	if t.fit.chosen == 0 || t.stale(now) {
		return 0
	}
	i := t.fit.chosen
	weight := 1 - math.Exp(-now.Sub(t.statedAt).Seconds()/smoothing.Seconds())
	return 1 / (t.smoothed[i] + weight*(t.rate[i]-t.smoothed[i]))
}

func (t *Tracker) stale(now time.Time) bool {
	return t.statedAt.IsZero() || now.Sub(t.statedAt) > staleAfter
}

// A Mark is the start of a run.
type Mark struct {
	at   time.Time
	done work
}

// Mark returns the mark of a run that starts now.
func (t *Tracker) Mark(now time.Time) Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Mark{now, t.doneAt(now)}
}

// doneAt returns done at a later time, as far as the last statement counts.
func (t *Tracker) doneAt(now time.Time) work {
	done := t.done
	if t.stale(now) {
		return done
	}
	for i := range done {
		done[i] += now.Sub(t.statedAt).Seconds() * t.rate[i]
	}
	return done
}

// Observe records the duration of a run that began at the mark and has ended now, and
// returns how long it would have taken at the usual pace. That is 0 if it is not known.
// Runs of one class take about as long at the same pace.
func (t *Tracker) Observe(class string, m Mark, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	took := now.Sub(m.at).Seconds()
	if took <= 0 || t.stale(now) || m.at.Before(t.since) {
		return 0
	}
	done := t.doneAt(now)
	for i := range done {
		done[i] = min(max(done[i]-m.done[i], took/Max), took/Min)
	}
	t.fit.observe(class, done)
	if t.fit.chosen == 0 {
		return 0
	}
	return time.Duration(done[t.fit.chosen] * float64(time.Second))
}

// Basis identifies the rule by which Pace and Observe convert durations. Durations that
// Observe returned under another basis are not comparable.
func (t *Tracker) Basis() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fit.chosen
}

// A Status describes a Tracker for operators.
type Status struct {
	// Stated is the last stated pace, 0 if it is stale.
	Stated float64
	// Pace is the pace in use; 0 if it is not known.
	Pace float64
	// Sensitivity is the exponent with which durations follow the stated pace; 0 if
	// they contradict it or too few were observed.
	Sensitivity float64
}

// Status returns the state of the tracker.
func (t *Tracker) Status(now time.Time) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Status{Pace: t.pace(now), Sensitivity: sensitivities[t.fit.chosen]}
	if !t.stale(now) {
		s.Stated = t.stated
	}
	return s
}
