package idempotency

// A Decision is the result of the witnesses' answers to a claim.
type Decision int

// Decisions.
const (
	// DecisionPending: further answers are needed.
	DecisionPending Decision = iota
	// DecisionRun: a majority granted the key, so the holder may run the request.
	DecisionRun
	// DecisionInProgress: another holder may be running the request now.
	DecisionInProgress
	// DecisionAnswered: the request was answered before, with Tally.Status.
	DecisionAnswered
	// DecisionOutcomeUnknown: the request may have run before.
	DecisionOutcomeUnknown
	// DecisionNoMajority: fewer than a majority granted the key, and the other
	// witnesses did not answer or have no memory left. The request did not run.
	DecisionNoMajority
)

// A Tally collects the witnesses' answers to one claim.
type Tally struct {
	// Witnesses are the IDs of the hosts that are asked.
	Witnesses []string
	// Status is the HTTP status of the earlier request. It is set when a witness
	// answered VerdictAnswered.
	Status int

	answers map[string]Answer
}

// NewTally returns a tally for a claim from the witnesses with the given host
// IDs.
func NewTally(witnesses []string) *Tally {
	return &Tally{Witnesses: witnesses, answers: map[string]Answer{}}
}

// Add records the answer of the witness with the given host ID. The zero Answer
// stands for a failed call, after which the witness may be asked again.
func (t *Tally) Add(host string, a Answer) { t.answers[host] = a }

// Decide returns the decision from the answers so far. A claim needs grants of
// a majority of all witnesses: any two majorities share a witness, which grants
// to one holder only. If final is set, no further answers are expected and the
// decision is not DecisionPending.
func (t *Tally) Decide(final bool) Decision {
	counts := map[Verdict]int{}
	for _, a := range t.answers {
		counts[a.Verdict]++
		if a.Verdict == VerdictAnswered {
			t.Status = a.Status
		}
	}
	majority := len(t.Witnesses)/2 + 1
	unanswered := len(t.Unanswered())
	switch {
	case len(t.Witnesses) == 0:
		return DecisionNoMajority
	case counts[VerdictGranted] >= majority:
		return DecisionRun
	case !final && counts[VerdictGranted]+unanswered >= majority:
		return DecisionPending
	case counts[VerdictAnswered] > 0:
		return DecisionAnswered
	case counts[VerdictInProgress] > 0:
		return DecisionInProgress
	case counts[VerdictOutcomeUnknown]+counts[VerdictAbstained] > 0:
		return DecisionOutcomeUnknown
	default:
		return DecisionNoMajority
	}
}

// Unanswered returns the host IDs of the witnesses without an answer.
func (t *Tally) Unanswered() []string {
	var unanswered []string
	for _, id := range t.Witnesses {
		if t.answers[id].Verdict == VerdictNoAnswer {
			unanswered = append(unanswered, id)
		}
	}
	return unanswered
}
