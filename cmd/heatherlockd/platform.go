package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-kit/log/level"

	"heatherlock/node/gateway"
	"heatherlock/node/telemetry"
	"heatherlock/platform"
)

// platformGCPercent trades CPU time for memory, which is expensive on these VMs.
// Compared with the default of 100, a day of 11 VMs took 6.7 instead of 8.2
// GB-seconds of memory and 17 instead of 13 seconds of CPU time.
const platformGCPercent = 40

// settingsPollInterval is how often the settings file is checked for changes that
// were not announced by SIGHUP.
const settingsPollInterval = 2 * time.Second

// runPlatform runs the daemon as an entry VM on the users' platform until it is
// stopped or fails, and returns the exit code.
func runPlatform(out, problems io.Writer) int {
	path := os.Getenv(platform.SettingsVariable)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(problems, err)
		return exitSettings
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(platformGCPercent)
	}
	boundedOut := telemetry.NewBoundedWriter(out)
	defer boundedOut.Close()
	logger := telemetry.NewLogger(boundedOut, "info")
	g, err := gateway.New(settings, logger)
	if err != nil {
		_ = level.Error(logger).Log("msg", "did not start", "err", err) // the writer counts dropped lines
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go watchSettings(ctx, path, g)
	if err := g.Run(ctx); err != nil {
		_ = level.Error(logger).Log("msg", "failed", "err", err) // as above
		return exitFailed
	}
	return exitOK
}

// watchSettings reloads the settings file after SIGHUP and every
// settingsPollInterval, until ctx ends.
func watchSettings(ctx context.Context, path string, g *gateway.Gateway) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
		}
		g.Reload(platform.LoadSettings(path))
	}
}
