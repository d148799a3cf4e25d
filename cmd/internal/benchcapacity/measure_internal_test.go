package benchcapacity

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against changes with invalid JSON ("invalid character '0' after object key:value pair").
// The timeout used to be the digits of the time of day, which begin with a zero before ten o'clock,
// and a JSON number must not. It now depends only on the number of the change.
func TestEachChangeIsValidAndDiffersWhateverTheTime(t *testing.T) {
	seen := map[string]bool{}
	for number := range 100 {
		spec, err := changedSpec(number)
		assert.NilError(t, err)
		assert.Assert(t, json.Valid(spec), "%s", spec)
		assert.Assert(t, !seen[string(spec)], "change %d repeats %s", number, spec)
		seen[string(spec)] = true
	}
}
