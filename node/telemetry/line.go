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

// lineLogger writes JSON lines with their keys in the order given.
//
// go-kit's own JSON logger gathers a line in a map and hands it to the general
// encoder, which sorts the keys: 13.0 µs and 34 allocations for the line of a
// refused request, against 0.9 µs and none here (BenchmarkLine). Lines would cost
// 3 % of an entry VM's processor time while a tenth of all requests is refused.
type lineLogger struct{ to io.Writer }

var _ log.Logger = lineLogger{}

// lineBuffers are reused; those grown beyond keptLine bytes are not.
var lineBuffers = sync.Pool{New: func() any { return new([]byte) }}

const keptLine = 8 << 10

// Log implements log.Logger.
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
	if cap(line) <= keptLine {
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

// appendValue appends a value as JSON. What a general encoder cannot take is told
// as its error, so that a line is never lost for one of its values.
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

// errorText is an error's text; a nil pointer in an error has none.
func errorText(err error) string {
	if v := reflect.ValueOf(err); v.Kind() == reflect.Pointer && v.IsNil() {
		return "nil"
	}
	return err.Error()
}

// appendText appends text as a JSON string. Text with anything to escape is left to
// the general encoder.
func appendText(line []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c == '"' || c == '\\' || c >= utf8.RuneSelf {
			encoded, err := json.Marshal(text)
			if err != nil {
				return append(line, `""`...) // a string always has a form
			}
			return append(line, encoded...)
		}
	}
	line = append(line, '"')
	line = append(line, text...)
	return append(line, '"')
}
