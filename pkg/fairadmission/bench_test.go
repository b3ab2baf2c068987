package fairadmission

import (
	"context"
	"testing"
	"time"
)

func BenchmarkEnterFreeSlot(b *testing.B) {
	g := New()
	g.Configure(Limits{Slots: 12, ColdSlots: 12, QueuePerAccount: 64})
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		t, err := g.Admit(ctx, Request{Account: "a", Deadline: time.Now().Add(time.Second)})
		if err != nil {
			b.Fatal(err)
		}
		t.Release(Succeeded)
	}
}

// Every call waits: 64 goroutines share 12 slots.
func BenchmarkEnterQueued(b *testing.B) {
	g := New()
	g.Configure(Limits{Slots: 12, ColdSlots: 12, QueuePerAccount: 1000})
	g.limit.permits = 12
	ctx := context.Background()
	b.ReportAllocs()
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			t, err := g.Admit(ctx, Request{Account: "a"})
			if err != nil {
				b.Error(err)
				return
			}
			t.Release(Succeeded)
		}
	})
}
