package nestedthrottle

import "time"

const (
	// minShare is the lowest admitted share of a kind. Each round at it wastes few
	// runs, and six rounds lead back to 1.
	minShare = 0.02
	// probeInterval is the longest time between two runs of a kind that is offered,
	// whatever its share, so that a recovery is noticed and no kind starves.
	probeInterval = 500 * time.Millisecond
	// maxCredit bounds the requests that are admitted in succession after a pause.
	maxCredit = 1.5
	// A round of measurement ends after roundTime if minRoundRuns runs have ended in
	// it, and after maxRoundTime if one has.
	roundTime    = 300 * time.Millisecond
	maxRoundTime = time.Second
	minRoundRuns = 4
	// toleratedWaste is the ratio of wasted runs that changes nothing.
	toleratedWaste = 0.02
	// minWasted is the number of wasted runs in a round from which a kind that is not
	// throttled becomes so. A single one may have other causes than the load.
	minWasted = 2
	// Runs are wasted for lack of capacity if a ratio of overloadStrain of the served
	// ones was strained, or if overloadWaste of all were wasted. Otherwise a part
	// fails at any load, and a lower share would not help the others.
	overloadStrain = 0.2
	overloadWaste  = 0.8
	// wasteFactor is by how much more than the wasted part the share falls, since the
	// queues of the called services are full and must drain.
	wasteFactor = 1.5
	// A share rises by the factor recoveryGrowth and recoveryStep, from the lowest to 1
	// in six rounds, if the ratio of strained runs is at most freeStrain: then the
	// called services have room.
	freeStrain     = 0.1
	recoveryStep   = 0.1
	recoveryGrowth = 1.3
	// Above highStrain the share falls by strainFactor, so that the queues of the
	// called services do not overflow. That ends strainHold after the last wasted run,
	// since a service may be busy for long and yet serve everything. Otherwise the
	// share rises by shareStep.
	highStrain   = 0.2
	strainFactor = 0.95
	strainHold   = 3 * time.Second
	shareStep    = 0.01
)

// A kind is the state of one kind of root request.
type kind struct {
	// share is the admitted share of the offered requests, and credit the requests
	// that it allows now.
	share, credit float64
	// offeredAt and admittedAt are the times of the last request and the last run.
	offeredAt, admittedAt time.Time
	// ended, wasted and strained count the runs that ended in the round that began
	// at roundStart. Runs that began before countFrom, when runs were last wasted, are
	// not counted: they show the former share.
	ended, wasted, strained int
	roundStart, countFrom   time.Time
	// wastedAt is when a run was last wasted.
	wastedAt time.Time
}

func newKind(now time.Time) *kind { return &kind{share: 1, roundStart: now, offeredAt: now} }

// admit decides about one offered request. Requests are admitted at even distances.
func (k *kind) admit(now time.Time) bool {
	k.credit = min(maxCredit, k.credit+k.share)
	if k.share < 1 && k.credit < 1 && now.Sub(k.admittedAt) < probeInterval {
		return false
	}
	k.credit = max(0, k.credit-1)
	k.admittedAt = now
	return true
}

// record counts the end of a run and ends the round if it is complete.
func (k *kind) record(began time.Time, o Outcome, now time.Time) {
	if began.Before(k.countFrom) {
		return
	}
	k.ended++
	switch o {
	case Wasted:
		k.wasted++
		k.wastedAt = now
	case Strained:
		k.strained++
	}
	length := now.Sub(k.roundStart)
	if length < roundTime || (k.ended < minRoundRuns && length < maxRoundTime) {
		return
	}
	k.endRound(now)
	k.ended, k.wasted, k.strained, k.roundStart = 0, 0, 0, now
}

func (k *kind) endRound(now time.Time) {
	waste, strain := float64(k.wasted)/float64(k.ended), 1.0
	if served := k.ended - k.wasted; served > 0 {
		strain = float64(k.strained) / float64(served)
	}
	overloaded := strain >= overloadStrain || waste >= overloadWaste
	switch {
	case k.share >= 1 && k.wasted < minWasted:
	case waste > toleratedWaste && overloaded:
		k.share = max(minShare, k.share*(1-wasteFactor*waste))
		k.countFrom = now
	case strain <= freeStrain:
		k.share = min(1, k.share*recoveryGrowth+recoveryStep)
	case strain > highStrain && now.Sub(k.wastedAt) < strainHold:
		k.share = max(minShare, k.share*strainFactor)
	default:
		k.share = min(1, k.share+shareStep)
	}
}
