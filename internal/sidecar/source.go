package sidecar

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"quetzaldock.example/quetzaldock/pkg/config"
	"quetzaldock.example/quetzaldock/pkg/fleet"
)

// A Source reads the store that publishes configuration and instances.
type Source struct {
	// List returns everything that is published. What was published while the
	// listing ran may be missing; a watch from its Revision tells it.
	List func(ctx context.Context) (*Update, error)
	// Watch returns what was published after a revision, at the latest after
	// wait. The error is ErrCompacted if that history is no longer kept.
	Watch func(ctx context.Context, after uint64, wait time.Duration) (*Update, error)
}

// ErrCompacted means that the store no longer holds the history asked for.
var ErrCompacted = namespace.NewType("compacted")

// An Update is what one read of the store returned.
type Update struct {
	// Revision is the store's; a watch goes on from it.
	Revision uint64
	Changes  []fleet.Change
	// Published is the newest configuration among the changes, or nil.
	Published *Published
}

// A Published is one configuration as operators published it.
type Published struct {
	Version  uint64
	Document config.Document
	// Fault is set if the bytes could not be read; Document is then empty.
	Fault error
}

const (
	// watchWait is how long a watch waits for a change. An answer that is
	// later tells that the connection went silent, so it is well below the
	// time in which a change has to be in force.
	watchWait = 1500 * time.Millisecond
	// watchSlack is how long after watchWait an answer may come.
	watchSlack = 700 * time.Millisecond
	// listTimeout bounds a listing of all entries, several pages long.
	listTimeout = 3 * time.Second
	// retryFirst and retryMost bound the pause after a failed read.
	retryFirst = 50 * time.Millisecond
	retryMost  = 500 * time.Millisecond
	// gatherFor is the pause between a change and the next watch. What is
	// published meanwhile comes with one read.
	gatherFor = 100 * time.Millisecond
)

// follow keeps the node up to date with the store until ctx ends.
func (n *Node) follow(ctx context.Context) {
	for ctx.Err() == nil {
		revision, ok := n.list(ctx)
		if !ok {
			return
		}
		n.watch(ctx, revision)
	}
}

// list reads everything, again until that succeeds, and returns the store's
// revision. It reports false when ctx ends.
func (n *Node) list(ctx context.Context) (uint64, bool) {
	for pause := retryFirst; ; pause = min(2*pause, retryMost) {
		c, cancel := context.WithTimeout(ctx, listTimeout)
		u, err := n.Source.List(c)
		cancel()
		if err == nil {
			n.storeAnswered()
			n.accept(u, true)
			return u.Revision, true
		}
		n.storeFailed(ctx, err)
		if !sleep(ctx, n.jitter(pause)) {
			return 0, false
		}
	}
}

// watch follows the changes after a revision until ctx ends or the history is
// gone.
func (n *Node) watch(ctx context.Context, after uint64) {
	pause := retryFirst
	for ctx.Err() == nil {
		c, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
		u, err := n.Source.Watch(c, after, watchWait)
		cancel()
		switch {
		case err == nil:
			n.storeAnswered()
			pause, after = retryFirst, max(after, u.Revision)
			if len(u.Changes) == 0 && u.Published == nil {
				continue
			}
			n.accept(u, false)
			sleep(ctx, gatherFor)
		case errorx.IsOfType(err, ErrCompacted):
			n.Log.Info("history of the store is gone", "after", after)
			return
		default:
			n.storeFailed(ctx, err)
			sleep(ctx, n.jitter(pause))
			pause = min(2*pause, retryMost)
		}
	}
}
