package admit

import (
	"bytes"
	"testing"
)

// A load endpoint is another program's output: whatever it says, reading it
// gives figures that make sense or an error.
func FuzzDecodeLoad(f *testing.F) {
	f.Add([]byte(`{"inFlight":1,"slots":4,"draining":false}`))
	f.Add([]byte(`{"inFlight":-1}`))
	f.Add([]byte(`{"slots":1e99}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		load, err := decodeLoad(bytes.NewReader(body))
		if err == nil && (load.InFlight < 0 || load.Slots < 0) {
			t.Fatalf("%+v", load)
		}
	})
}
