package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against calls that run twice and against false "not run" reports: after
// any series of attempts, a call that may have run is retried only if it is
// idempotent, and is never reported as not run.
func TestRetryDecisions(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		a := Attempt{
			Idempotent: rapid.Bool().Draw(r, "idempotent"),
			Now:        time.Unix(100, 0),
			Deadline:   time.Unix(rapid.Int64Range(98, 102).Draw(r, "deadline"), 0),
		}
		mayHaveRun := 0
		for a.Number = 1; ; a.Number++ {
			a.NotRun = rapid.Bool().Draw(r, "not run")
			a.Sent = rapid.Bool().Draw(r, "sent")
			a.NoRetry = rapid.Bool().Draw(r, "retry: no")
			if a.Sent && !a.NotRun {
				mayHaveRun++
			}
			switch DecideRetry(a) {
			case Retry:
				assert.Assert(r, a.Idempotent || mayHaveRun == 0)
				assert.Assert(r, a.Number < MaxAttempts && a.Now.Before(a.Deadline) && !a.NoRetry)
				a.EarlierMayHaveRun = mayHaveRun > 0
				continue
			case GiveUpNotRun:
				assert.Assert(r, mayHaveRun == 0)
			case GiveUpUnknown:
				assert.Assert(r, mayHaveRun > 0)
			}
			break
		}
		assert.Assert(r, a.Idempotent || mayHaveRun <= 1)
	})
}

// Guards against more retries than the budget allows.
func TestRetriesStayInsideTheBudget(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := NewRetryBudget()
		percent := rapid.IntRange(0, 100).Draw(r, "percent")
		b.Configure("s", percent)
		calls, retries := 0, 0
		for range rapid.IntRange(0, 500).Draw(r, "calls") {
			b.RecordCall("s")
			calls++
			for range rapid.IntRange(0, 3).Draw(r, "attempts") {
				if b.Allow("s", time.Time{}) {
					retries++
				}
			}
			assert.Assert(r, float64(retries) <= defaultMaxBurst+float64(calls*percent)/100)
		}
	})
}

// A treeLevel is one service of a call tree, with its node's budget.
type treeLevel struct {
	budget       *RetryBudget
	sendsNoRetry bool // sends and obeys Quetzaldock-Retry: no
}

// countAttempts runs one call through the levels, of which the last one fails,
// and returns the number of attempts that reach the last level.
func countAttempts(levels []treeLevel, refused bool) int {
	if len(levels) == 0 {
		return 1
	}
	n := 0
	leaf := len(levels) == 1
	l := levels[0]
	a := Attempt{Service: "s", Idempotent: true, Sent: true, NotRun: leaf && refused, NoRetry: !leaf && l.sendsNoRetry}
	if l.budget != nil {
		l.budget.RecordCall("s")
		a.Allow = l.budget.Allow
	}
	for a.Number = 1; ; a.Number++ {
		n += countAttempts(levels[1:], refused)
		if DecideRetry(a) != Retry {
			return n
		}
	}
}

// Guards against retries of calls to one failing service that multiply over the
// levels of the call tree.
func TestRetriesDoNotMultiplyOverLevels(t *testing.T) {
	const calls = 500
	mean := func(budget, sendsNoRetry bool) float64 {
		var levels []treeLevel
		for range 7 { // calls up to 8 levels deep
			l := treeLevel{sendsNoRetry: sendsNoRetry}
			if budget {
				l.budget = NewRetryBudget()
				l.budget.Configure("s", 20)
			}
			levels = append(levels, l)
		}
		n := 0
		for range calls {
			n += countAttempts(levels, true)
		}
		return float64(n) / calls
	}
	both, onlyBudget, onlyHeader, none := mean(true, true), mean(true, false), mean(false, true), mean(false, false)
	t.Logf("attempts per call at the failing service: %.2f; only budget %.2f, only Retry: no %.2f, neither %.0f", both, onlyBudget, onlyHeader, none)
	assert.Check(t, both <= 1.25)
	assert.Check(t, onlyHeader <= 3)
	assert.Check(t, none > 2000, "the run without the mechanisms does not show the fault")
}

// Guards against retries whose nested calls exceed the budgets of the services
// that they call.
func TestRetriesUseTheBudgetsOfNestedCalls(t *testing.T) {
	b := NewRetryBudget()
	b.Configure("desk", 50)
	b.Configure("records", 50)
	calls := map[string]float64{"records": 2.5}
	n := 0
	for b.AllowWithNestedCalls("desk", calls) {
		n++
	}
	assert.Equal(t, n, 4)
	assert.Assert(t, !b.AllowWithNestedCalls("desk", calls))
	assert.Assert(t, b.AllowWithNestedCalls("desk", nil))
	assert.Assert(t, !b.AllowWithNestedCalls("records", nil))
}
