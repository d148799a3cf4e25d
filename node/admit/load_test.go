package admit

import (
	"bytes"
	"testing"
)

// FuzzDecodeLoad checks that any response of a load endpoint, which is another
// program's output, decodes to non-negative figures or an error.
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
