package static_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"heatherlock/node/static"
)

const validSettings = `{
  "vm": "norte-a-1", "zone": "norte-a", "region": "norte",
  "callerListen": "127.0.0.1:0", "peerListen": "127.0.0.1:0", "operatorListen": "[::1]:0",
  "platform": {"url": "http://127.0.0.1:1234"},
  "seeds": ["127.0.0.1:7002"],
  "operatorTokens": [{"name": "ana", "sha256": "` + digest + `"}],
  "limits": {"callerConnections": 10}
}`

const digest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

func TestParseFillsDefaults(t *testing.T) {
	s, err := static.Parse([]byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.Limits.CallerConnections, 10)
	assert.Equal(t, s.Limits.HeaderBytes, static.DefaultHeaderBytes)
	assert.Equal(t, s.Log.Level, "info")
	assert.Equal(t, s.Platform.Timeout().Milliseconds(), int64(static.DefaultPlatformTimeoutMs))
}

// Guards against a decoder that stops at the first error, so that an operator who has several
// wrong fields in a settings file finds only one of them with each restart.
func TestParseReportsEveryProblemAtOnce(t *testing.T) {
	_, err := static.Parse([]byte(`{
	  "vm": "norte a 1", "zone": 7, "colour": "red",
	  "callerListen": "localhost", "peerListen": "127.0.0.1:0",
	  "platform": {"url": "ftp://x", "timeoutMs": -1, "retries": 3},
	  "seeds": ["0.0.0.0:1"],
	  "log": {"level": "loud"},
	  "tls": {"peer": {"certFile": "a", "key": {"k": "top secret"}}},
	  "operatorTokens": [{"name": "ana", "sha256": "plain-token"}],
	  "limits": {"headerTimeoutMs": 99999999999, "headerBytes": 1}
	}`))
	var e *static.Error
	assert.Assert(t, errors.As(err, &e))
	want := map[string]static.ProblemKind{
		"vm": static.BadValue, "zone": static.BadType, "region": static.MissingField,
		"colour": static.UnknownField, "callerListen": static.BadAddress,
		"operatorListen": static.MissingField, "platform.url": static.BadAddress,
		"platform.timeoutMs": static.BadDuration, "platform.retries": static.UnknownField,
		"seeds[0]": static.BadAddress, "log.level": static.BadValue, "tls.peer.key": static.BadType,
		"tls.peer": static.BadValue, "operatorTokens[0].sha256": static.BadValue,
		"limits.headerTimeoutMs": static.BadDuration, "limits.headerBytes": static.BadValue,
	}
	got := map[string]static.ProblemKind{}
	for _, p := range e.Problems {
		got[p.Field] = p.Kind
		assert.Assert(t, p.Remedy != "", "%s has no remedy", p.Field)
	}
	assert.DeepEqual(t, got, want)
	assert.Assert(t, !strings.Contains(err.Error(), "top secret"))
	assert.Assert(t, !strings.Contains(err.Error(), "plain-token"))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"vm":`))
	f.Add([]byte(`[]`))
	f.Add([]byte(`{"operatorTokens":[1,{}],"platform":null,"limits":{"outcomeBytes":1e99}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := static.Parse(raw)
		if err != nil {
			var e *static.Error
			assert.Assert(t, errors.As(err, &e) && len(e.Problems) > 0)
			return
		}
		assert.NilError(t, s.Check())
		assert.Assert(t, s.VM != "" && s.CallerListen != "" && s.Platform.URL != "")
	})
}
