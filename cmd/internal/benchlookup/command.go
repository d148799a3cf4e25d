package benchlookup

import (
	"context"
	"time"

	"github.com/integrii/flaggy"

	"heatherlock/cmd/internal/command"
)

// Options configures a run.
type Options struct {
	Blocks   int
	Places   int
	Zones    int
	VMs      int // entry VMs in all zones together
	Round    time.Duration
	Clients  int // concurrent callers over HTTP
	Seed     uint64
	JSONFile string
}

// Defaults returns the deployment size that heatherlock is designed for.
func Defaults() Options {
	return Options{Blocks: 680_000, Places: 120, Zones: 30, VMs: 650, Round: 3 * time.Second, Clients: 64, Seed: 1}
}

// Upper bounds of the options. They keep a run within a few minutes and within half of the
// resources of a typical machine.
const (
	maxBlocks  = 5_000_000
	maxRound   = time.Minute
	maxClients = 1000
)

// Check returns an error for the first option that is out of bounds.
func (o Options) Check() error {
	switch {
	case o.Blocks < 1000 || o.Blocks > maxBlocks:
		return command.Failf(command.Usage, "give --blocks from 1000 to 5000000", "--blocks %d is out of bounds", o.Blocks)
	case o.Zones < 1 || o.Places < o.Zones || o.VMs < o.Zones:
		return command.Failf(command.Usage, "give at least one zone, and no fewer places and entry VMs than zones", "zones, places or entry VMs are out of bounds")
	case o.Round <= 0 || o.Round > maxRound:
		return command.Failf(command.Usage, "give --round of up to 1m", "--round %s is out of bounds", o.Round)
	case o.Clients < 1 || o.Clients > maxClients:
		return command.Failf(command.Usage, "give --clients from 1 to 1000", "--clients %d is out of bounds", o.Clients)
	}
	return nil
}

// Command returns the `bench lookup` command.
func Command() command.Command {
	return command.Command{
		Name:    "lookup",
		Summary: "look-ups a second, memory of the block table, changes under look-ups, look-ups over HTTP",
		Declare: declare,
	}
}

func declare(sub *flaggy.Subcommand) command.Run {
	o := Defaults()
	sub.Int(&o.Blocks, "b", "blocks", "client blocks")
	sub.Int(&o.Places, "p", "places", "places over all zones")
	sub.Int(&o.Zones, "z", "zones", "availability zones")
	sub.Int(&o.VMs, "v", "vms", "entry VMs over all zones")
	sub.Duration(&o.Round, "r", "round", "length of each measurement")
	sub.Int(&o.Clients, "c", "clients", "callers at once over HTTP")
	sub.UInt64(&o.Seed, "s", "seed", "seed of blocks and clients")
	sub.String(&o.JSONFile, "j", "json", "write the report to this file as one JSON object")
	return func(ctx context.Context, io command.IO) error {
		if err := o.Check(); err != nil {
			return err
		}
		report, err := Run(ctx, o)
		if err != nil {
			return command.Failf(command.Other, "", "%v", err)
		}
		report.WriteText(io.Out)
		if o.JSONFile == "" {
			return nil
		}
		if err := report.WriteJSON(o.JSONFile); err != nil {
			return command.Failf(command.Usage, "", "%v", err)
		}
		return nil
	}
}
