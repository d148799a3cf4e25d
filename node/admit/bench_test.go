package admit

import (
	"fmt"
	"testing"

	"heatherlock/node/seam"
	"heatherlock/steering"
)

// BenchmarkAcquireHere is the cost of a grant from the own count, with the
// locks and the view around it.
func BenchmarkAcquireHere(b *testing.B) {
	for _, vms := range []int{2, 22} {
		b.Run(fmt.Sprint(vms), func(b *testing.B) {
			z := newZone(b, vms, targets, slots)
			defer z.close()
			owner := z.owner()
			request := seam.AdmitRequest{ID: steering.RequestID("r"), Service: testService, Place: testPlace}
			grant, err := owner.admit.Acquire(b.Context(), request)
			if err != nil {
				b.Fatal(err)
			}
			grant.Done(notSent())
			b.ReportAllocs()
			for b.Loop() {
				grant, err := owner.admit.Acquire(b.Context(), request)
				if err != nil {
					b.Fatal(err)
				}
				grant.Done(seam.Outcome{ReportedInFlight: -1, ReportedSlots: -1})
			}
		})
	}
}
