package telemetry

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against lines that can't be parsed or contain other values than were logged. Each value
// must be encoded as encoding/json encodes it.
func TestLinesAreTheJSONOfTheirValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.String().Draw(t, "text")
		n := rapid.Int64().Draw(t, "n")
		yes := rapid.Bool().Draw(t, "yes")
		list := rapid.SliceOf(rapid.String()).Draw(t, "list")
		var out bytes.Buffer
		assert.NilError(t, lineLogger{&out}.Log("msg", text, "n", n, "yes", yes, "list", list, "err", errors.New(text)))
		var got struct {
			Msg  string
			N    int64
			Yes  bool
			List []string
			Err  string
		}
		assert.NilError(t, json.Unmarshal(out.Bytes(), &got), out.String())
		var want struct{ Text string }
		raw, err := json.Marshal(map[string]string{"Text": text})
		assert.NilError(t, err)
		assert.NilError(t, json.Unmarshal(raw, &want))
		assert.Equal(t, got.Msg, want.Text)
		assert.Equal(t, got.Err, want.Text)
		assert.Equal(t, got.N, n)
		assert.Equal(t, got.Yes, yes)
		assert.Equal(t, len(got.List), len(list))
		assert.Equal(t, bytes.Count(out.Bytes(), []byte("\n")), 1)
	})
}

type name string

// Guards against losing a line because of one of its values: a value of another type, one that
// has no JSON form, a missing one, or a nil pointer in an error.
func TestUnencodableValuesDoNotLoseTheLine(t *testing.T) {
	var out bytes.Buffer
	var missing *json.SyntaxError
	assert.NilError(t, lineLogger{&out}.Log("name", name("vm-1"), "took", 3*time.Second, "at", time.Unix(0, 0).UTC(), "not", math.Inf(1),
		"err", error(missing), 7, nil, "last"))
	var got map[string]any
	assert.NilError(t, json.Unmarshal(out.Bytes(), &got), out.String())
	assert.Equal(t, got["name"], "vm-1")
	assert.Equal(t, got["took"], "3s")
	assert.Equal(t, got["at"], "1970-01-01T00:00:00Z")
	assert.Equal(t, got["err"], "nil")
	assert.Equal(t, got["7"], nil)
	assert.Equal(t, got["last"], log.ErrMissingValue.Error())
}

var refusedLine = []any{"ts", time.Unix(1, 0), "msg", "refused", "request", "03bc3be8318ea06c", "route", "r-7ccezg4", "reason", name("no_slot"),
	"config", uint64(3), "service", name("nyfi5a"), "kind", "idempotent", "key", "75", "deadline_ms", int64(2000), "timeout_ms", int64(800),
	"took_ms", int64(0), "store_age_ms", int64(641), "shortest_wait_ms", int64(254)}

func BenchmarkLine(b *testing.B) {
	for _, way := range []struct {
		name   string
		logger log.Logger
	}{{"ours", lineLogger{io.Discard}}, {"go-kit", log.NewJSONLogger(io.Discard)}} {
		b.Run(way.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_ = way.logger.Log(refusedLine...) // io.Discard returns no errors
			}
		})
	}
}
