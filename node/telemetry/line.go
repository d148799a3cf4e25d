package telemetry

import (
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/go-kit/log"
)

// lineLogger writes log lines as JSON objects with their keys in the given order.
//
// go-kit's JSON logger builds a map and passes it to encoding/json, which sorts the keys. For the
// line of a refused request it takes 13.0 µs and 34 allocations, and lineLogger 0.9 µs and none
// (BenchmarkLine). If a tenth of all requests is refused, go-kit's logger would use 3 % of an
// entry VM's CPU time.
type lineLogger struct{ to io.Writer }

var _ log.Logger = lineLogger{}

// lineBuffers holds buffers for reuse. A buffer larger than maxPooledBytes isn't returned to the
// pool.
var lineBuffers = sync.Pool{New: func() any { return new([]byte) }}

const maxPooledBytes = 8 << 10

// Log writes one line. A missing last value is written as log.ErrMissingValue.
func (l lineLogger) Log(keyvals ...any) error {
	buffer := lineBuffers.Get().(*[]byte)
	line := append((*buffer)[:0], '{')
	for i := 0; i < len(keyvals); i += 2 {
		if i > 0 {
			line = append(line, ',')
		}
		line = append(appendText(line, keyText(keyvals[i])), ':')
		var value any = log.ErrMissingValue
		if i+1 < len(keyvals) {
			value = keyvals[i+1]
		}
		line = appendValue(line, value)
	}
	line = append(line, '}', '\n')
	_, err := l.to.Write(line)
	if cap(line) <= maxPooledBytes {
		*buffer = line
		lineBuffers.Put(buffer)
	}
	return err
}

func keyText(key any) string {
	if text, ok := key.(string); ok {
		return text
	}
	return fmt.Sprint(key)
}

// appendValue appends a value as JSON. If encoding/json can't encode a value, its error is
// written instead, so that one value never loses the whole line.
func appendValue(line []byte, value any) []byte {
	switch v := value.(type) {
	case nil:
		return append(line, "null"...)
	case string:
		return appendText(line, v)
	case int:
		return strconv.AppendInt(line, int64(v), 10)
	case int64:
		return strconv.AppendInt(line, v, 10)
	case uint64:
		return strconv.AppendUint(line, v, 10)
	case bool:
		return strconv.AppendBool(line, v)
	case time.Time:
		return append(v.AppendFormat(append(line, '"'), time.RFC3339Nano), '"')
	case error:
		return appendText(line, errorText(v))
	case fmt.Stringer:
		return appendText(line, v.String())
	}
	if v := reflect.ValueOf(value); v.Kind() == reflect.String {
		return appendText(line, v.String())
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return appendText(line, "not encoded: "+err.Error())
	}
	return append(line, encoded...)
}

// errorText returns the text of an error, or "nil" for a nil pointer in an error, on which Error
// could panic.
func errorText(err error) string {
	if v := reflect.ValueOf(err); v.Kind() == reflect.Pointer && v.IsNil() {
		return "nil"
	}
	return err.Error()
}

// appendText appends text as a JSON string. It uses encoding/json only for text that contains
// characters to escape or that isn't ASCII.
func appendText(line []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c == '"' || c == '\\' || c >= utf8.RuneSelf {
			encoded, err := json.Marshal(text)
			if err != nil {
				return append(line, `""`...) // can't happen: every string can be encoded
			}
			return append(line, encoded...)
		}
	}
	line = append(line, '"')
	line = append(line, text...)
	return append(line, '"')
}
