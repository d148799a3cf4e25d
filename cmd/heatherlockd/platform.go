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

// platformGCPercent trades time for memory, which is dear on these VMs: against the
// usual 100 a day took 6.7 GB x seconds of memory instead of 8.2, and 17 seconds of
// processor time instead of 13, over 11 VMs (phic-booking, trouble-1, one run each).
const platformGCPercent = 40

// settingsLook is how often the settings file is looked at for a change that no
// signal announced.
const settingsLook = 2 * time.Second

// runPlatform is the daemon's life as an entry VM on the users' platform.
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
	bounded := telemetry.NewBoundedWriter(out)
	defer bounded.Close()
	logger := telemetry.NewLogger(bounded, "info")
	g, err := gateway.New(settings, logger)
	if err != nil {
		_ = level.Error(logger).Log("msg", "did not start", "err", err) // the writer counts what it drops
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

// watchSettings hands on new settings after SIGHUP, and when the file changed
// without a signal.
func watchSettings(ctx context.Context, path string, g *gateway.Gateway) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ticker := time.NewTicker(settingsLook)
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
