package fairadmission

import (
	"context"
	"testing"
	"time"
)

func BenchmarkAdmitFreeSlot(b *testing.B) {
	ctl := New()
	ctl.Configure(Limits{Slots: 12, ColdSlots: 12, QueuePerAccount: 64})
	ctx := context.Background()
	b.ReportAllocs()
	for b.Loop() {
		slot, err := ctl.Admit(ctx, Request{Account: "a", Deadline: time.Now().Add(time.Second)})
		if err != nil {
			b.Fatal(err)
		}
		slot.Release(Succeeded)
	}
}

// Every request waits, since many goroutines share 12 slots.
func BenchmarkAdmitQueued(b *testing.B) {
	ctl := New()
	ctl.Configure(Limits{Slots: 12, ColdSlots: 12, QueuePerAccount: 1000})
	ctl.limiter.permits = 12
	ctx := context.Background()
	b.ReportAllocs()
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			slot, err := ctl.Admit(ctx, Request{Account: "a"})
			if err != nil {
				b.Error(err)
				return
			}
			slot.Release(Succeeded)
		}
	})
}
