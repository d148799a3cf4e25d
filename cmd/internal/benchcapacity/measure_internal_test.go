package benchcapacity

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

// Symptom: the capacity bench fails for ten hours of each day ("invalid character
// '0' after object key:value pair").
// Sequence: a change of configuration sets a timeout; the bench reads the time of
// day as hours, minutes and seconds, and writes the digits into the JSON.
// Cause: before ten o'clock the digits begin with a zero, which no JSON number may.
// What a change sets now depends on its number alone.
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
