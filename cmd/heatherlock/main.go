// Command heatherlock is the command-line client for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/mattn/go-isatty"

	"heatherlock/cmd/internal/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	code := program().Main(ctx, os.Args[1:], command.IO{
		In:       os.Stdin,
		Out:      os.Stdout,
		Err:      os.Stderr,
		Terminal: isatty.IsTerminal(os.Stdout.Fd()) && os.Getenv("NO_COLOR") == "",
	})
	stop()
	os.Exit(int(code))
}
