package metastore

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
)

// Reencode returns a JSON text with the same meaning as another encoder might write it: keys in another order,
// fields that no one reads, null for empty lists, escaped characters, and whole numbers with a fraction or an exponent.
func Reencode(text []byte, r *rand.Rand) json.RawMessage {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		panic("metastore: not JSON: " + err.Error())
	}
	var out strings.Builder
	reencode(&out, value, r)
	return json.RawMessage(out.String())
}

func reencode(out *strings.Builder, value any, r *rand.Rand) {
	switch value := value.(type) {
	case map[string]any:
		out.WriteByte('{')
		if r.IntN(4) == 0 {
			out.WriteString(`"x-notes":{"by":["ops",1.5]},`)
		}
		first := true
		keys := slices.Sorted(maps.Keys(value))
		r.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
		for _, key := range keys {
			if !first {
				out.WriteByte(',')
			}
			first = false
			reencode(out, key, r)
			out.WriteByte(':')
			reencode(out, value[key], r)
		}
		if first {
			out.WriteString(`"x-empty":null`)
		}
		out.WriteByte('}')
	case []any:
		if len(value) == 0 && r.IntN(2) == 0 {
			out.WriteString("null")
			return
		}
		out.WriteByte('[')
		for i, element := range value {
			if i > 0 {
				out.WriteByte(',')
			}
			reencode(out, element, r)
		}
		out.WriteByte(']')
	case string:
		out.WriteByte('"')
		for _, c := range value {
			if c < ' ' || c == '"' || c == '\\' || c < 0x10000 && r.IntN(16) == 0 {
				fmt.Fprintf(out, `\u%04x`, c)
				continue
			}
			out.WriteRune(c)
		}
		out.WriteByte('"')
	case json.Number:
		out.WriteString(reencodeNumber(value.String(), r))
	default:
		fmt.Fprint(out, map[any]string{nil: "null", true: "true", false: "false"}[value])
	}
}

func reencodeNumber(text string, r *rand.Rand) string {
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return text
	}
	switch r.IntN(4) {
	case 0:
		return text + ".0"
	case 1:
		if number%1000 == 0 {
			return strconv.FormatInt(number/1000, 10) + "e3"
		}
		return text + "E+0"
	}
	return text
}
