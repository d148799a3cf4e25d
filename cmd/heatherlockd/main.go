// Command heatherlockd is the entry VM daemon. It answers look-ups, forwards
// requests to targets, coordinates with the other entry VMs and serves the
// operators' API.
package main

import (
	"context"
	"fmt"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/integrii/flaggy"

	"heatherlock/node"
	"heatherlock/node/static"
	"heatherlock/node/telemetry"
	"heatherlock/platform"
)

// version is set by the linker: -ldflags "-X main.version=v1.2.3".
var version = "dev"

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run runs the daemon until it is stopped or fails, and returns the exit code.
// Errors in the settings are written to problems.
func run(args []string, out, problems io.Writer) int {
	options := readFlags(args)
	if options.platform {
		return runPlatform(out, problems)
	}
	settings, err := static.Load(options.settings)
	if err != nil {
		fmt.Fprintln(problems, err)
		return exitSettings
	}
	logger := telemetry.NewLogger(out, settings.Log.Level)
	// Libraries that log to the standard logger write JSON lines too.
	stdlog.SetOutput(log.NewStdlibAdapter(level.Warn(logger)))
	stdlog.SetFlags(0)
	configureGC()
	daemon, err := node.New(settings, node.Options{Log: logger, Version: version})
	if err != nil {
		level.Error(logger).Log("msg", "daemon did not start", "err", err)
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// A second signal ends the process at once instead of being ignored.
	context.AfterFunc(ctx, stop)
	if err := daemon.Run(ctx); err != nil {
		level.Error(logger).Log("msg", "daemon failed", "err", err)
		return exitFailed
	}
	return exitOK
}

// gcPercent trades memory for CPU time: the daemon's live heap is a few megabytes,
// so the default of 100 would cause many garbage collections a second.
const gcPercent = 400

// memoryLimit keeps the process under the 128 MB that control functions may use on
// an entry VM, with a margin for memory that the runtime does not count. Without it,
// a change among 680,000 client blocks produces garbage of several times the live
// heap before it is collected, and a VM with little memory would kill the daemon
// during a change that all entry VMs apply at the same time. Near the limit the
// collector only runs more often.
const memoryLimit = 96 << 20 // bytes

// configureGC configures the garbage collector, except for settings that GOGC or
// GOMEMLIMIT already determine.
func configureGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}

// options holds the values of the command line.
type options struct {
	settings string
	platform bool
}

func readFlags(args []string) options {
	var o options
	flaggy.SetName("heatherlockd")
	flaggy.SetDescription("entry VM daemon of heatherlock")
	flaggy.SetVersion(version)
	flaggy.String(&o.settings, "s", "settings", "JSON file with the daemon's settings")
	onPlatform := flaggy.NewSubcommand("platform")
	onPlatform.Description = "run on the users' platform, with the settings file that $" + platform.SettingsVariable + " names"
	flaggy.AttachSubcommand(onPlatform, 1)
	flaggy.ParseArgs(args)
	o.platform = onPlatform.Used
	return o
}
