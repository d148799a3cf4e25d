package fairshare_test

import (
	"encoding/hex"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"heatherlock/steering"
	"heatherlock/steering/fairshare"
)

// shortDivider returns a divider of a short service that each of some workspaces asks once.
func shortDivider(now time.Time, workspaces int) *fairshare.Divider {
	d := fairshare.NewDivider(7)
	for n := range workspaces {
		d.Record(now, fairshare.Request{Service: "clips", Workspace: steering.Workspace(fmt.Sprint("w", n)), Rank: n % 2})
	}
	d.RecordServed(now, fairshare.Request{Service: "clips", Workspace: "w0"})
	d.RecordShort(now.Add(-300*time.Millisecond), "clips", 1)
	return d
}

// Guards against a report that entry VMs of another build read as something else.
func TestGoldenReport(t *testing.T) {
	now := time.Unix(1000, 0)
	golden.Assert(t, hex.EncodeToString(shortDivider(now, 3).Report(now))+"\n", "golden/report.hex")
}

// Guards against reports that grow with the number of workspaces, or that are sent while nothing is short.
func TestReportIsSmall(t *testing.T) {
	now := time.Unix(1000, 0)
	assert.Equal(t, len(shortDivider(now, 2000).Report(now)), 9+2*21+32*12)
	assert.Assert(t, shortDivider(now, 2000).Report(now.Add(5*time.Second)) == nil)
}

// Guards against a corrupt report that changes a VM's state in part, and against one that is late and
// replaces a newer one.
func TestReportsThatCannotBeUsedChangeNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	from, to := shortDivider(now, 3), shortDivider(now.Add(-time.Minute), 3)
	older, newer := from.Report(now), from.Report(now)
	for n := range len(newer) {
		// Not each cut is visible: the groups of a report are independent of each other.
		if err := to.Merge(now, "vm", newer[:n]); err != nil {
			assert.Assert(t, errors.Is(err, fairshare.ErrReport), "%v", err)
		}
	}
	assert.ErrorIs(t, to.Merge(now, "vm", append([]byte{2}, newer[1:]...)), fairshare.ErrReport)
	notANumber := append([]byte{}, newer...)
	copy(notANumber[9+10:], []byte{0x7f, 0xc0, 0, 0})
	assert.ErrorIs(t, to.Merge(now, "vm", notANumber), fairshare.ErrReport)

	to = shortDivider(now.Add(-time.Minute), 3)
	assert.Assert(t, !to.Rooms(now)[1].Divided)
	assert.NilError(t, to.Merge(now, "vm", newer))
	assert.Assert(t, to.Rooms(now)[1].Divided, "the service is short on another VM")
	later := now.Add(900 * time.Millisecond)
	assert.NilError(t, to.Merge(later, "vm", older))
	assert.Assert(t, !to.Rooms(later)[1].Divided, "a late report counts as a new one")
}

// Measures an admission while a service is divided between the 86 workspaces of one VM, at 1,000 requests a
// second.
func BenchmarkAdmit(b *testing.B) {
	now := time.Unix(1000, 0)
	d := shortDivider(now.Add(-time.Minute), 86)
	for n := range b.N {
		now = now.Add(time.Millisecond)
		r := fairshare.Request{Service: "clips", Workspace: steering.Workspace(fmt.Sprint("w", n%86))}
		d.Record(now, r)
		d.RecordShort(now, "clips", 0)
		d.Admit(now, r)
	}
}
