package benchbalance

import "heatherlock/cmd/internal/command"

// Command returns `bench balance`.
func Command() command.Command {
	return command.Simulation("balance", "compare ways to share target slots among entry VMs, by simulation", func(o Options) command.SimReport { return Run(o) })
}
