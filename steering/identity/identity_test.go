package identity_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"heatherlock/steering"
	"heatherlock/steering/identity"
)

func workspace(name string, keys ...string) *identity.Workspace {
	w := &identity.Workspace{Name: steering.Workspace(name)}
	for _, key := range keys {
		w.Keys = append(w.Keys, identity.DigestOf(key))
	}
	return w
}

// Guards against requests that are attributed to a workspace although their header field
// does not hold exactly one well-formed key.
func TestReadAcceptsOneWellFormedKey(t *testing.T) {
	for name, c := range map[string]struct {
		values []string
		want   identity.Problem
	}{
		"one":           {[]string{"spuxsr7i427eya6u6sz9"}, identity.None},
		"none":          {nil, identity.Missing},
		"two":           {[]string{"a", "a"}, identity.Repeated},
		"empty":         {[]string{""}, identity.Malformed},
		"with scheme":   {[]string{"Bearer abc"}, identity.Malformed},
		"joined":        {[]string{"abc,def"}, identity.Malformed},
		"tab":           {[]string{"abc\t"}, identity.Malformed},
		"not ASCII":     {[]string{"schl\u00fcssel"}, identity.Malformed},
		"much too long": {[]string{strings.Repeat("x", 4096)}, identity.Malformed},
	} {
		_, problem := identity.Read(c.values)
		assert.Equal(t, problem, c.want, name)
	}
}

// Guards against keys that are attributed to a wrong workspace: for any set of workspaces,
// Find returns the holder of each key, and Unknown for a key that no workspace holds.
func TestDirectoryFindsOnlyHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holders := map[string]string{}
		var all []*identity.Workspace
		for n := range rapid.IntRange(1, 30).Draw(t, "workspaces") {
			name := fmt.Sprint("w", n)
			var keys []string
			for k := range rapid.IntRange(0, 4).Draw(t, "keys") {
				key := fmt.Sprintf("%s-%d", name, k)
				keys = append(keys, key)
				holders[key] = name
			}
			all = append(all, workspace(name, keys...))
		}
		assert.NilError(t, identity.Check(all))
		d := identity.NewDirectory(all)
		for n := range 31 {
			for k := range 5 {
				key := fmt.Sprintf("w%d-%d", n, k)
				w, problem := d.Find(identity.DigestOf(key))
				assert.Equal(t, problem == identity.None, holders[key] != "")
				if w != nil {
					assert.Equal(t, string(w.Name), holders[key])
				}
			}
		}
	})
}

func TestCheckReportsDuplicates(t *testing.T) {
	var shared *identity.SharedKeyError
	err := identity.Check([]*identity.Workspace{workspace("a", "k"), workspace("b", "j", "k")})
	assert.Assert(t, errors.As(err, &shared), "%v", err)
	assert.Equal(t, shared.Second, steering.Workspace("b"))
	var double *identity.DuplicateError
	assert.Assert(t, errors.As(identity.Check([]*identity.Workspace{workspace("a"), workspace("a")}), &double))
	assert.NilError(t, identity.Check([]*identity.Workspace{workspace("a", "k", "k"), workspace("b")}))
}

// Guards against keys in logs: a formatted workspace must not contain any part of its key.
func TestFormattedWorkspaceHidesKey(t *testing.T) {
	w := workspace("a", "spuxsr7i427eya6u6sz9")
	for _, format := range []string{"%v", "%+v", "%s", "%x"} {
		text := fmt.Sprintf(format, w)
		assert.Assert(t, !strings.Contains(text, "spuxsr7i"), text)
	}
}

// Guards against values that are accepted in place of the exact key, such as one with
// a trailing NUL byte or comma, in other case, or after a no-break space.
func FuzzRead(f *testing.F) {
	for _, seed := range []string{"", "spuxsr7i427eya6u6sz9", "a b", "Bearer x", "k\x00", "\xff\xfe", strings.Repeat("k", 600)} {
		f.Add(seed)
	}
	d := identity.NewDirectory([]*identity.Workspace{workspace("a", "spuxsr7i427eya6u6sz9")})
	f.Fuzz(func(t *testing.T, value string) {
		key, problem := identity.Read([]string{value})
		if problem != identity.None {
			return
		}
		w, problem := d.Find(key)
		if (problem == identity.None) != (value == "spuxsr7i427eya6u6sz9") {
			t.Fatalf("%q: got workspace %v", value, w)
		}
	})
}
