package benchpath

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestShortBench(t *testing.T) {
	report, err := Run(t.Context(), Options{Round: 30 * time.Millisecond, Rounds: 1, Workers: 4})
	assert.NilError(t, err)
	for _, l := range []LoopResult{report.Single.Direct, report.Single.Hop, report.Many.Direct, report.Many.Hop, report.Lookups} {
		assert.Check(t, l.Count > 0)
		assert.Equal(t, l.Errors, int64(0))
	}
	assert.Equal(t, len(report.Uploads), len(uploadSizes))
	var text bytes.Buffer
	report.WriteText(&text)
	assert.Check(t, bytes.Contains(text.Bytes(), []byte("look-ups")))
}

// Guards against a heap measurement that misses memory in use. The benchmark would then report
// that memory does not grow with the upload size although whole uploads are buffered.
func TestHeapPeakSeesWhatIsHeld(t *testing.T) {
	const held = 32 << 20
	peak, err := heapPeak(func() error {
		data := bytes.Repeat([]byte{1}, held)
		time.Sleep(20 * time.Millisecond)
		assert.Check(t, data[held-1] == 1)
		return nil
	})
	assert.NilError(t, err)
	assert.Check(t, peak >= held, "%d", peak)
}

func TestOptionsOutOfBounds(t *testing.T) {
	for want, o := range map[string]Options{
		"--round":   {Round: time.Hour, Rounds: 1, Workers: 1},
		"--rounds":  {Round: time.Second, Workers: 1},
		"--workers": {Round: time.Second, Rounds: 1},
	} {
		assert.ErrorContains(t, o.Check(), want)
	}
}
