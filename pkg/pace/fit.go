package pace

import "math"

const (
	// fitWeight is the weight of a new observation in the moving averages.
	fitWeight = 1.0 / 32
	// classWeight is the weight of a new duration in the mean of its class.
	classWeight = 1.0 / 32
	// minClassRuns is the number of runs of a class before their deviations count.
	minClassRuns = 4
	// minRuns is the number of deviations before a stated pace is followed. After a
	// restart the node serves as without a pace for that long.
	minRuns = 24
	// minAdvantage is the ratio of errors from which on another sensitivity is chosen. It
	// keeps the choice stable where both do equally well.
	minAdvantage = 1.1
	// errorFloor is added to errors, so that those of durations that hardly vary do
	// not decide.
	errorFloor = 0.02
	// maxClasses is the number of classes that are kept.
	maxClasses = 64
)

// A fit compares how well the sensitivities explain the observed durations. For each
// class and sensitivity it keeps the mean logarithm of the durations converted to the
// usual pace. The sensitivity whose converted durations deviate least from their means
// is chosen.
type fit struct {
	classes map[string]*classFit
	// errors is the moving average of the deviations, runs their number.
	errors work
	runs   int
	// chosen is the index of the sensitivity in use.
	chosen int
}

type classFit struct {
	mean work
	runs int
}

// observe adds a run of a class, given its converted durations in seconds.
func (f *fit) observe(class string, converted work) {
	c := f.class(class)
	c.runs++
	weight := max(classWeight, 1/float64(c.runs))
	errorWeight := max(fitWeight, 1/float64(f.runs+1))
	for i := range converted {
		difference := math.Log(converted[i]) - c.mean[i]
		c.mean[i] += weight * difference
		if c.runs > minClassRuns {
			f.errors[i] += errorWeight * (math.Abs(difference) - f.errors[i])
		}
	}
	if c.runs > minClassRuns {
		f.runs++
		f.choose()
	}
}

func (f *fit) class(name string) *classFit {
	if c := f.classes[name]; c != nil {
		return c
	}
	if len(f.classes) >= maxClasses || f.classes == nil {
		f.classes = map[string]*classFit{}
	}
	c := &classFit{}
	f.classes[name] = c
	return c
}

// choose selects the sensitivity with the least error. Where the stated pace hardly
// changes, all do equally well, and the statement is taken at its word.
func (f *fit) choose() {
	if f.runs < minRuns {
		return
	}
	if f.runs == minRuns {
		f.chosen = len(sensitivities) - 1
	}
	best := f.chosen
	for i := range f.errors {
		if f.errors[i] < f.errors[best] {
			best = i
		}
	}
	if (f.errors[best]+errorFloor)*minAdvantage < f.errors[f.chosen]+errorFloor {
		f.chosen = best
	}
}
