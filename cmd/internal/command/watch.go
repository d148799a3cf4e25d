package command

import (
	"context"
	"fmt"
	"time"
)

const (
	// WatchEvery is the pause between two looks of a command that watches.
	WatchEvery = time.Second
	// ClearScreen moves a terminal's cursor to the corner of an empty screen.
	ClearScreen = "\x1b[H\x1b[2J"
)

// Watch calls show once, or with again set each second until ctx ends. Errors are printed
// while it goes on; the last one is returned.
func Watch(ctx context.Context, out IO, again bool, show func() error) error {
	for {
		err := show()
		if !again || ctx.Err() != nil {
			return err
		}
		if err != nil {
			fmt.Fprintln(out.Err, "heatherlock:", err)
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(WatchEvery):
		}
	}
}

// Clear empties the screen before the next look, if there is one.
func Clear(out IO) {
	if out.Terminal {
		fmt.Fprint(out.Out, ClearScreen)
	}
}
