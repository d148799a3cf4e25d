package jsonnum_test

import (
	"encoding/json"
	"math/big"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/responses/jsonnum"
)

// Guards against a number that is read as another one, and against changes outside of numbers.
func TestOnlyNotationsOfWholeNumbersChange(t *testing.T) {
	for text, want := range map[string]string{
		`{"a":2.0,"b":[1e3,-5E+0,1.50e1]}`: `{"a":2,"b":[1000,-5,15]}`,
		`[0.0,-0.0,0e9,1200e-2,0.012e3]`:   `[0,0,0,12,12]`,
		`[9007199254740993.0]`:             `[9007199254740993]`,
		`[1.5,1e-3,1e300,12e-1]`:           `[1.5,1e-3,1e300,12e-1]`,
		`{"2.0":"1e3 \" 2.0","c":"\\"}`:    `{"2.0":"1e3 \" 2.0","c":"\\"}`,
		`"2.0`:                             `"2.0`, "1.0.0": "1.0.0", "1e": "1e", "1.": "1.", "01.0": "01.0", "e5": "e5", "": "", "--1.0": "--1.0", "1e99999999999": "1e99999999999",
	} {
		assert.Equal(t, string(jsonnum.Plain([]byte(text))), want, "%s", text)
	}
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`-?(0|[1-9][0-9]{0,6})(\.[0-9]{1,6})?([eE][+-]?[0-9]{1,2})?`).Draw(t, "number")
		before, ok := new(big.Rat).SetString(text)
		assert.Assert(t, ok)
		got := jsonnum.Plain([]byte(text))
		after, ok := new(big.Rat).SetString(string(got))
		assert.Assert(t, ok && before.Cmp(after) == 0, "%s became %s", text, got)
		var number int64
		if before.IsInt() && before.Num().IsInt64() {
			assert.NilError(t, json.Unmarshal(got, &number), "%s", text)
		} else {
			assert.Assert(t, json.Unmarshal(got, &number) != nil, "%s", text)
		}
	})
}

// Guards against a text that ends or changes the scan in an unexpected way.
func FuzzPlain(f *testing.F) {
	f.Add(`{"a":[2.0,"\"1e3"],"b":1e3}`)
	f.Fuzz(func(t *testing.T, text string) {
		got := jsonnum.Plain([]byte(text))
		if json.Valid([]byte(text)) {
			assert.Assert(t, json.Valid(got), "%s became %s", text, got)
		}
	})
}
