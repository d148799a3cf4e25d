package command

import (
	"bytes"
	"context"
	"testing"

	"github.com/integrii/flaggy"
	"gotest.tools/v3/assert"
)

func TestGroupRunsNamedSubcommand(t *testing.T) {
	ran := ""
	inner := func(name string) Command {
		return Command{Name: name, Declare: func(sub *flaggy.Subcommand) Run {
			size := 0
			sub.Int(&size, "n", "size", "a number")
			return func(context.Context, IO) error {
				if size == 7 {
					ran = name
				}
				return nil
			}
		}}
	}
	p := Program{Name: "p", Commands: []Command{Group("bench", "measure", inner("one"), inner("two"))}}
	var out bytes.Buffer
	io := IO{Out: &out, Err: &out}
	assert.Equal(t, p.Main(t.Context(), []string{"bench", "two", "--size", "7"}, io), OK)
	assert.Equal(t, ran, "two")
	assert.Equal(t, p.Main(t.Context(), []string{"bench"}, io), Usage)
	assert.Check(t, bytes.Contains(out.Bytes(), []byte("bench needs a subcommand")))
}
