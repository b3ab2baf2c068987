// Package pace tracks how long work takes on a server at present, relative to usual.
// It combines what the server states with the durations that are observed. It opens
// no socket and starts no goroutine.
//
// A pace of 1 is as usual, 2 means that work takes twice as long, and 0 that the pace
// is not known.
package pace

// The bounds of a plausible pace. Instances of one service differ in speed by a factor
// of 2 to 3, and paces of 0.3 to 4 are expected.
const (
	Min = 0.1
	Max = 10
)

// Plausible reports whether a pace is within the bounds. Not a number is not.
func Plausible(p float64) bool { return p >= Min && p <= Max }
