package crash

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"quetzaldock.example/quetzaldock/internal/peer"
	"quetzaldock.example/quetzaldock/pkg/quarantine"
)

const (
	// pushRounds is the number of rounds in which a node pushes what is new
	// to it, and pushFanout the number of nodes in each. Six calls reach all but one
	// in 400 nodes if none is lost.
	pushRounds = 3
	pushFanout = 2
	// pushInterval is the shortest time between two rounds of pushes.
	pushInterval = 100 * time.Millisecond
	// compareFanout is the number of nodes with which a node compares its table in
	// each round. Nearly all nodes that pushes did not reach are up to date after one.
	compareFanout = 3
	// compareInterval is the time between rounds of comparison. Each is up to
	// compareJitter longer, so that nodes do not call in step.
	compareInterval = 400 * time.Millisecond
	compareJitter   = 100 * time.Millisecond
	// pullFanout is the number of nodes that are asked at once. Several of them may
	// have just started themselves.
	pullFanout = 4
	// pullRetry is the time between attempts to read the reports of other nodes.
	pullRetry = 250 * time.Millisecond
	// answerDelay is the time after which a call without an answer is replaced by a call
	// of another node. The first one may still be answered.
	answerDelay = 50 * time.Millisecond
	// sparesPerCall is the number of nodes that are chosen for each call to be called
	// in place of those that do not answer.
	sparesPerCall = 4
	// maxReportCalls limits the calls of a node at the same time. With none left a
	// call is not made; comparisons make up for it.
	maxReportCalls = 32
)

// Reports spreads the crash reports of all nodes by gossip: what is new goes to a
// few random nodes at once, and nodes compare their tables with random others, as long
// as they have reports. A call without an answer is soon replaced by one to another node.
// A node that starts or was cut off reads the reports of others. While there are no
// reports, there are no messages.
type Reports struct {
	table *quarantine.Table
	// nodeNames returns what exchange takes for the nodes beside instances, or nil if
	// they are not known yet.
	nodeNames func() []string
	// selfName is that of this node.
	selfName string
	// exchange calls another node. Its time limit is its own.
	exchange func(ctx context.Context, to string, in peer.ReportsRequest) (peer.ReportsReply, error)

	// changed has a value after a change of the table, pullWanted while a pull is due.
	changed    chan struct{}
	pullWanted chan struct{}
	// nodesKnown has a value once names of other nodes have become known.
	nodesKnown chan struct{}
	// callSlots holds a value for each call that is running.
	callSlots chan struct{}
	calls     sync.WaitGroup
	// answers tells which nodes have answered lately.
	answers answerRecord
}

// NewReports returns the Reports of a node that has just started.
func NewReports(table *quarantine.Table, self string, nodeNames func() []string, exchange func(ctx context.Context, to string, in peer.ReportsRequest) (peer.ReportsReply, error)) *Reports {
	c := &Reports{
		table: table, selfName: self, nodeNames: nodeNames, exchange: exchange,
		changed: make(chan struct{}, 1), pullWanted: make(chan struct{}, 1), nodesKnown: make(chan struct{}, 1),
		callSlots: make(chan struct{}, maxReportCalls),
	}
	c.RequestPull()
	return c
}

// Spread lets other nodes learn what has changed in the table.
func (c *Reports) Spread() { signal(c.changed) }

// RequestPull lets the node read the reports of others, which may have been unable to
// reach it.
func (c *Reports) RequestPull() { signal(c.pullWanted) }

// signal puts a value into a channel with room for one, unless there is one.
func signal(s chan struct{}) {
	select {
	case s <- struct{}{}:
	default:
	}
}

// RecordNodesKnown records that names of other nodes have become known, so that a
// node that has just started need not wait to read their reports.
func (c *Reports) RecordNodesKnown() { signal(c.nodesKnown) }

// Serve answers another node.
func (c *Reports) Serve(_ context.Context, in peer.ReportsRequest) (peer.ReportsReply, error) {
	var out peer.ReportsReply
	if err := c.merge(in.Reports); err != nil {
		return out, err
	}
	switch in.Want {
	case peer.WantDigests:
		if out.Differs = c.table.Hash() != in.Hash; out.Differs {
			out.Digests = c.table.Digests()
		}
	case peer.WantReports:
		out.Reports = c.table.Missing(in.Digests)
	}
	return out, nil
}

// merge adds the reports of another node. What is new goes on to further nodes.
func (c *Reports) merge(reports []quarantine.WireReport) error {
	changed, err := c.table.Merge(reports)
	if changed {
		c.Spread()
	}
	return err
}

// Run spreads reports until ctx ends.
func (c *Reports) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { c.pushChanges(ctx) })
	loops.Go(func() { c.compareTables(ctx) })
	loops.Go(func() { c.pullReports(ctx) })
	loops.Wait()
	c.calls.Wait()
}

// pushChanges sends what is new to random nodes, at once but at most once in
// pushInterval.
func (c *Reports) pushChanges(ctx context.Context) {
	// pushed holds the versions up to which the last rounds pushed.
	var pushed [pushRounds]uint64
	for {
		if pushed[0] == c.table.Version() {
			select {
			case <-ctx.Done():
				return
			case <-c.changed:
			}
		}
		reports, version := c.table.ExportSince(pushed[0])
		copy(pushed[:], pushed[1:])
		pushed[pushRounds-1] = version
		if len(reports) > 0 {
			c.push(ctx, reports)
		}
		if !sleep(ctx, pushInterval) {
			return
		}
	}
}

// push sends reports to random nodes.
func (c *Reports) push(ctx context.Context, reports []quarantine.WireReport) {
	c.callNodes(ctx, pushFanout, func(to string) error {
		_, err := c.send(ctx, to, peer.ReportsRequest{Reports: reports})
		return err
	})
}

// compareTables compares the table with those of random nodes while there are
// reports. A node that the others do not know of, because no instance is published
// beside it, does so all the time.
func (c *Reports) compareTables(ctx context.Context) {
	for sleep(ctx, compareInterval+rand.N(compareJitter)) {
		c.table.Expire()
		if c.table.Empty() && c.isKnown() {
			continue
		}
		c.callNodes(ctx, compareFanout, func(to string) error { return c.compare(ctx, to) })
	}
}

// isKnown reports whether other nodes know this one.
func (c *Reports) isKnown() bool {
	return slices.Contains(c.nodeNames(), c.selfName)
}

// compare makes the tables of this node and another equal.
func (c *Reports) compare(ctx context.Context, to string) error {
	r, err := c.send(ctx, to, peer.ReportsRequest{Want: peer.WantDigests, Hash: c.table.Hash()})
	if err != nil || !r.Differs {
		return err
	}
	in := peer.ReportsRequest{Reports: c.table.Missing(r.Digests)}
	if c.table.Lacks(r.Digests) {
		in.Want, in.Digests = peer.WantReports, c.table.Digests()
	}
	if len(in.Reports) == 0 && in.Want == peer.WantNothing {
		return nil
	}
	if r, err = c.send(ctx, to, in); err != nil {
		return err
	}
	return c.merge(r.Reports)
}

// pullReports reads the reports of random nodes when that is wanted, until one has
// answered.
func (c *Reports) pullReports(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.pullWanted:
		}
		for !c.pull(ctx) {
			if !c.awaitPullRetry(ctx) {
				return
			}
		}
	}
}

// awaitPullRetry waits until the next attempt to read the reports of other nodes. It
// reports false if ctx ended first.
func (c *Reports) awaitPullRetry(ctx context.Context) bool {
	t := time.NewTimer(pullRetry)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
	case <-c.nodesKnown:
	}
	return true
}

// pull reads the reports of random nodes and reports whether one answered.
func (c *Reports) pull(ctx context.Context) bool {
	answered := make(chan struct{}, pullFanout*(1+sparesPerCall))
	ended := c.callNodes(ctx, pullFanout, func(to string) error {
		r, err := c.send(ctx, to, peer.ReportsRequest{Want: peer.WantReports, Digests: c.table.Digests()})
		if err == nil {
			err = c.merge(r.Reports)
		}
		if err == nil {
			answered <- struct{}{}
		}
		return err
	})
	select {
	case <-answered:
		return true
	case <-ended:
	}
	return len(answered) > 0
}

// send calls another node.
func (c *Reports) send(ctx context.Context, to string, in peer.ReportsRequest) (peer.ReportsReply, error) {
	c.answers.recordCall(time.Now())
	out, err := c.exchange(ctx, to, in)
	if err == nil {
		c.answers.recordAnswer(to, time.Now())
	}
	return out, err
}

// callNodes runs call in the background for n random nodes, and for others in place of
// those that fail or do not answer soon. The channel is closed once none is running.
func (c *Reports) callNodes(ctx context.Context, n int, call func(to string) error) <-chan struct{} {
	nodes := c.chooseNodes(n)
	first := nodes[:min(n, len(nodes))]
	spares := make(chan string, n*sparesPerCall)
	for _, to := range nodes[len(first):] {
		spares <- to
	}
	var running sync.WaitGroup
	for _, to := range first {
		running.Add(1)
		c.calls.Go(func() {
			defer running.Done()
			c.callUntilAnswered(ctx, to, spares, call)
		})
	}
	ended := make(chan struct{})
	c.calls.Go(func() {
		running.Wait()
		close(ended)
	})
	return ended
}

// callUntilAnswered runs call for a node, and for one of spares if it fails or has not
// ended after answerDelay. It returns when all of them have ended.
func (c *Reports) callUntilAnswered(ctx context.Context, to string, spares <-chan string, call func(to string) error) {
	select {
	case c.callSlots <- struct{}{}:
	default:
		return
	}
	var err error
	ended := make(chan struct{})
	c.calls.Go(func() {
		defer close(ended)
		defer func() { <-c.callSlots }()
		err = call(to)
	})
	late := time.NewTimer(answerDelay)
	defer late.Stop()
	select {
	case <-ended:
		if err == nil {
			return
		}
	case <-late.C:
	}
	c.answers.recordSilence(to)
	if ctx.Err() == nil && c.answers.allowsReplacement(time.Now()) {
		select {
		case next := <-spares:
			c.callUntilAnswered(ctx, next, spares, call)
		default:
		}
	}
	<-ended
}

// chooseNodes returns up to n random other nodes for calls, and after them up to
// sparesPerCall for each to replace them, first those that have answered lately.
func (c *Reports) chooseNodes(n int) []string {
	random := c.randomNodes()
	answering := c.answers.answering(random, time.Now())
	var chosen []string
	for _, to := range slices.Concat(random[:min(n, len(random))], answering, random) {
		if len(chosen) == n*(1+sparesPerCall) {
			break
		}
		if !slices.Contains(chosen, to) {
			chosen = append(chosen, to)
		}
	}
	return chosen
}

// randomNodes returns the other nodes in random order.
func (c *Reports) randomNodes() []string {
	nodes := slices.Clone(c.nodeNames())
	nodes = slices.DeleteFunc(nodes, func(n string) bool { return n == c.selfName })
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return nodes
}

// sleep waits and reports whether ctx has not ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
