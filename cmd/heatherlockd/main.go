// Command heatherlockd is the entry VM daemon: it answers look-ups, forwards
// requests to targets, takes part in control with its peers and serves the
// operators' API.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log/level"
	"github.com/integrii/flaggy"

	"heatherlock/node"
	"heatherlock/node/static"
	"heatherlock/node/telemetry"
)

// version is set at link time.
var version = "dev"

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	os.Exit(run())
}

func run() int {
	path := readFlags()
	settings, err := static.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	logger := telemetry.NewLogger(os.Stdout, settings.Log.Level)
	daemon, err := node.New(settings, node.Options{Log: logger, Version: version})
	if err != nil {
		level.Error(logger).Log("msg", "daemon did not start", "err", err)
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := daemon.Run(ctx); err != nil {
		level.Error(logger).Log("msg", "daemon failed", "err", err)
		return exitFailed
	}
	return exitOK
}

func readFlags() string {
	var path string
	flaggy.SetName("heatherlockd")
	flaggy.SetDescription("entry VM daemon of heatherlock")
	flaggy.SetVersion(version)
	flaggy.String(&path, "s", "settings", "JSON file with the daemon's settings")
	flaggy.Parse()
	return path
}
