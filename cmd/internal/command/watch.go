package command

import (
	"context"
	"fmt"
	"time"
)

const (
	// WatchInterval is the time between two calls of show by Watch.
	WatchInterval = time.Second
	// ClearScreen is the escape sequence that clears a terminal and moves the cursor to
	// the top left corner.
	ClearScreen = "\x1b[H\x1b[2J"
)

// Watch calls show once or, if repeat is set, every WatchInterval until ctx ends. It prints errors
// while it repeats and returns the last one.
func Watch(ctx context.Context, out IO, repeat bool, show func() error) error {
	for {
		err := show()
		if !repeat || ctx.Err() != nil {
			return err
		}
		if err != nil {
			fmt.Fprintln(out.Err, "heatherlock:", err)
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(WatchInterval):
		}
	}
}

// Clear clears the screen if Out is a terminal.
func Clear(out IO) {
	if out.Terminal {
		fmt.Fprint(out.Out, ClearScreen)
	}
}
