// Command heatherlockd is the entry VM daemon: it answers look-ups, forwards
// requests to targets, takes part in control with its peers and serves the
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

// version is set at link time.
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

// run is the daemon's life; it returns its exit code.
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
	// Libraries that complain to the standard logger do so as JSON lines too.
	stdlog.SetOutput(log.NewStdlibAdapter(level.Warn(logger)))
	stdlog.SetFlags(0)
	collectSeldom()
	daemon, err := node.New(settings, node.Options{Log: logger, Version: version})
	if err != nil {
		level.Error(logger).Log("msg", "daemon did not start", "err", err)
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// A second signal ends the process at once instead of being swallowed.
	context.AfterFunc(ctx, stop)
	if err := daemon.Run(ctx); err != nil {
		level.Error(logger).Log("msg", "daemon failed", "err", err)
		return exitFailed
	}
	return exitOK
}

// gcPercent trades memory for time: the daemon's live heap is a few megabytes,
// so that the usual 100 would collect garbage many times a second.
const gcPercent = 400

// memoryLimit keeps the process under the 128 MB that control may take of an
// entry VM, with room for what the runtime does not count. Without it a change
// among 680,000 client blocks leaves garbage of several times the live heap
// before it is collected: a VM of little memory would kill the daemon in the
// middle of a change that all entry VMs take at once. Near the limit the
// collector just runs more often.
const memoryLimit = 96 << 20 // bytes

// collectSeldom sets the garbage collector unless its own variables do.
func collectSeldom() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}

// options are what the command line says.
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
