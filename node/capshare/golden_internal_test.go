package capshare

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"heatherlock/node/seam"
	"heatherlock/objects"
	"heatherlock/steering/caps"
	"heatherlock/steering/routing"
)

// stored is a fake platform that records the last write as text.
type stored struct {
	objects.API
	written string
}

func (s *stored) Create(_ context.Context, kind, name string, value json.RawMessage) (objects.Object, error) {
	s.written = fmt.Sprintf("create %s %s\n%s\n", kind, name, value)
	return objects.Object{Kind: kind, Name: name, Version: 31, Value: value}, nil
}

func (s *stored) Update(_ context.Context, kind, name string, version int64, value json.RawMessage) (objects.Object, error) {
	s.written = fmt.Sprintf("update %s %s %d\n%s\n", kind, name, version, value)
	return objects.Object{Kind: kind, Name: name, Version: version + 1, Value: value}, nil
}

// Guards against seats that entry VMs of another version decode differently: the permits of a cap
// would be used twice or not at all.
func TestGoldenSeats(t *testing.T) {
	full := routing.CapSeats{Version: 41, CapVersion: 11, Requests: 12, WindowMs: 1300,
		Seats: []routing.CapSeat{{VM: "vm-1", Incarnation: "i1", Permits: 5}, {VM: "vm-2", Incarnation: "i2", Permits: 7}}}
	for name, seats := range map[string]routing.CapSeats{"full": full, "empty": {}} {
		t.Run(name, func(t *testing.T) {
			platform := &stored{}
			k := &Caps{config: Config{Platform: platform}, metrics: newMetrics(tally.NoopScope)}
			sh := newShare("limit", seam.Member{VM: "vm-1", Incarnation: "i1"}, caps.Rule{}, time.Now())
			assert.NilError(t, k.write(t.Context(), sh, &seats))
			golden.Assert(t, platform.written, "golden/seats-"+name+".txt")
			want := seats
			want.Version = max(seats.Version, 30) + 1 // the version of the stored object
			assert.DeepEqual(t, *sh.seats, want)
		})
	}
}
