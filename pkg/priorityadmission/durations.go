package priorityadmission

import "time"

const (
	// initialMeanDuration is the assumed duration of a request before the first
	// measurement.
	initialMeanDuration = 100 * time.Millisecond
	// durationWeight is the weight of a new duration in the moving averages.
	durationWeight = 1.0 / 16
	// maxClasses is the number of classes whose durations are kept.
	maxClasses = 64
)

// A duration is an estimate of how long requests run.
type duration struct {
	// mean is the moving average of the measured durations, deviation that of
	// their absolute deviations from it.
	mean, deviation time.Duration
	// samples counts the measurements.
	samples int
	// measuredAt is the time of the last measurement.
	measuredAt time.Time
}

// record adds a measurement. Until there are enough for a moving average, all
// count alike.
func (d *duration) record(measured time.Duration, now time.Time) {
	d.samples++
	d.measuredAt = now
	weight := max(durationWeight, 1/float64(d.samples))
	difference := measured - d.mean
	d.mean += time.Duration(weight * float64(difference))
	d.deviation += time.Duration(weight * float64(max(difference, -difference)-d.deviation))
}

// durations estimates how long requests run, by their class. Where long and short
// requests share a server, one average over all would give short ones no time to
// wait, and long ones too much.
type durations struct {
	// all is the estimate over all classes. It stands for those that have not been
	// measured.
	all     duration
	byClass map[string]*duration
}

func newDurations() durations {
	return durations{all: duration{mean: initialMeanDuration, samples: 1 / durationWeight}, byClass: map[string]*duration{}}
}

// of returns the estimate for a class.
func (d *durations) of(class string) duration {
	if known := d.byClass[class]; known != nil {
		return *known
	}
	return d.all
}

// record adds the measured duration of a request of a class.
func (d *durations) record(class string, measured time.Duration, now time.Time) {
	d.all.record(measured, now)
	known := d.byClass[class]
	if known == nil {
		d.makeRoom()
		known = &duration{}
		d.byClass[class] = known
	}
	known.record(measured, now)
}

// makeRoom drops the class that was measured longest ago if no further one may be
// kept.
func (d *durations) makeRoom() {
	if len(d.byClass) < maxClasses {
		return
	}
	oldest := ""
	for class, known := range d.byClass {
		if oldest == "" || known.measuredAt.Before(d.byClass[oldest].measuredAt) {
			oldest = class
		}
	}
	delete(d.byClass, oldest)
}
