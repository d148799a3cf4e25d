package benchlookup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSmallRunReportsAllMeasurements(t *testing.T) {
	o := Defaults()
	o.Blocks, o.Places, o.Zones, o.VMs = 20000, 12, 6, 24
	o.Round, o.Clients = 20*time.Millisecond, 4
	assert.NilError(t, o.Check())
	report, err := Run(t.Context(), o)
	assert.NilError(t, err)
	for _, result := range report.Tables {
		assert.Equal(t, result.Missed, 0, result.Way)
		assert.Assert(t, result.LookupsPerSecond > 0 && result.MB > 0, result.Way)
	}
	assert.Equal(t, report.Node.AllocsPerLookup < 0.01, true)
	assert.Assert(t, report.Node.OneBlock.Bytes < report.Node.AllBlocks.Bytes)
	assert.Assert(t, report.HTTP.LookupsPerSecond > 0)
	assert.Equal(t, report.HTTP.Failed, int64(0))
}

func TestOptionsOutOfBounds(t *testing.T) {
	for _, change := range []func(*Options){
		func(o *Options) { o.Blocks = 0 },
		func(o *Options) { o.Places = 1 },
		func(o *Options) { o.Round = time.Hour },
		func(o *Options) { o.Clients = 0 },
	} {
		o := Defaults()
		change(&o)
		assert.ErrorContains(t, o.Check(), "out of bounds")
	}
}
