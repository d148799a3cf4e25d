package benchplacement

import "heatherlock/cmd/internal/command"

// Command returns `bench placement`.
func Command() command.Command {
	return command.PlottedSimulation("placement", "play heavy days through the placement of requests, beside simpler ways", func(o Options) command.SimPlot { return Run(o) })
}
