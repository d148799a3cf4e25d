package check_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"heatherlock/api/check"
)

// Guards against operators' files that can no longer be decoded, or that lose a field when they are
// encoded again. The input file sets every field of every kind. It is maintained by hand and is not
// changed by -update.
func TestGoldenObjects(t *testing.T) {
	parts, err := check.Split(bytes.NewReader(golden.Get(t, "golden/objects.json")))
	assert.NilError(t, err)
	assert.Equal(t, len(parts), 7)
	var written bytes.Buffer
	for _, part := range parts {
		object, problems := check.Decode(part)
		assert.Equal(t, len(problems), 0, "%v", problems)
		raw, err := object.MarshalJSON()
		assert.NilError(t, err)
		written.Write(append(raw, '\n'))
	}
	golden.Assert(t, written.String(), "golden/objects-written.json")
}
