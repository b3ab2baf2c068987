package idempotency

// A Decision is what the answers of the witnesses come to.
type Decision int

// The decisions.
const (
	// Waiting: further answers are needed.
	DecisionPending Decision = iota
	// Run: a majority granted the key.
	DecisionRun
	// Running: another holder may be running the request now.
	DecisionInProgress
	// Repeated: the request was answered before, with Tally.Status.
	DecisionAnswered
	// Undecided: the request may have run before.
	DecisionOutcomeUnknown
	// NoMajority: too few witnesses answered. This request did not run.
	DecisionNoMajority
)

// A Tally counts the answers to one claim.
type Tally struct {
	// Witnesses are the hosts asked.
	Witnesses []string
	// Status is set with Repeated.
	Status int

	answers map[string]Answer
}

// NewTally returns a tally of the answers of the witnesses.
func NewTally(witnesses []string) *Tally {
	return &Tally{Witnesses: witnesses, answers: map[string]Answer{}}
}

// Add records a witness's answer; the zero Answer stands for a failed call,
// after which the witness may be asked again.
func (t *Tally) Add(host string, a Answer) { t.answers[host] = a }

// Decide returns what the answers so far come to. A majority of all witnesses
// must grant: two claims then share a witness, which grants to one of them.
// With final set, witnesses without an answer are not waited for.
func (t *Tally) Decide(final bool) Decision {
	count := map[Verdict]int{}
	for _, a := range t.answers {
		count[a.Verdict]++
		if a.Verdict == VerdictAnswered {
			t.Status = a.Status
		}
	}
	need := len(t.Witnesses)/2 + 1
	missing := len(t.Unanswered())
	switch {
	case len(t.Witnesses) == 0:
		return DecisionNoMajority
	case count[VerdictGranted] >= need:
		return DecisionRun
	case !final && count[VerdictGranted]+missing >= need:
		return DecisionPending
	case count[VerdictAnswered] > 0:
		return DecisionAnswered
	case count[VerdictInProgress] > 0:
		return DecisionInProgress
	case count[VerdictOutcomeUnknown]+count[VerdictAbstained] > 0:
		return DecisionOutcomeUnknown
	default:
		return DecisionNoMajority
	}
}

// Unanswered returns the witnesses without an answer.
func (t *Tally) Unanswered() []string {
	var out []string
	for _, id := range t.Witnesses {
		if t.answers[id].Verdict == VerdictNoAnswer {
			out = append(out, id)
		}
	}
	return out
}
