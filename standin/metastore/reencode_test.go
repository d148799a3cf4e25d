package metastore

import (
	"encoding/json"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a re-encoding that changes what a text means.
func TestReencodedTextMeansTheSame(t *testing.T) {
	type value struct {
		Name  string   `json:"name"`
		Parts []string `json:"parts"`
		Rate  float64  `json:"rate"`
		Whole float64  `json:"whole"`
		On    bool     `json:"on"`
	}
	for seed := range uint64(200) {
		want := value{Name: "a/\"é😀", Parts: []string{"x"}, Rate: 0.25, Whole: 12000, On: true}
		raw, err := json.Marshal(want)
		assert.NilError(t, err)
		var got value
		assert.NilError(t, json.Unmarshal(Reencode(raw, rand.New(rand.NewPCG(seed, 1))), &got))
		assert.DeepEqual(t, got, want)
	}
}
