package main

import (
	"heatherlock/cmd/internal/benchbalance"
	"heatherlock/cmd/internal/benchcapacity"
	"heatherlock/cmd/internal/benchcaps"
	"heatherlock/cmd/internal/benchdecide"
	"heatherlock/cmd/internal/benchfleet"
	"heatherlock/cmd/internal/benchlookup"
	"heatherlock/cmd/internal/benchoperators"
	"heatherlock/cmd/internal/benchpath"
	"heatherlock/cmd/internal/benchplacement"
	"heatherlock/cmd/internal/command"
	"heatherlock/cmd/internal/load"
	"heatherlock/cmd/internal/losses"
	"heatherlock/cmd/internal/offline"
	"heatherlock/cmd/internal/operate"
	"heatherlock/cmd/internal/quickstart"
	"heatherlock/cmd/internal/vmstatus"
	"heatherlock/cmd/internal/workspaces"
)

// version is set by the linker: -ldflags "-X main.version=v1.2.3".
var version = "development"

// program returns the program with all its subcommands. To add one, write a package
// under cmd/internal with a function that returns a command.Command, and list it here.
func program() command.Program {
	return command.Program{
		Name:        "heatherlock",
		Description: "Declare what traffic should do, watch it until it holds, and see why something was refused.",
		Version:     version,
		Commands: []command.Command{
			operate.Apply(),
			operate.Get(),
			operate.Delete(),
			operate.Watch(),
			operate.Wait(),
			operate.Status(),
			operate.Stop(),
			operate.Shift(),
			offline.Check(),
			offline.Explain(),
			offline.Why(),
			vmstatus.Command(),
			workspaces.Command(),
			losses.Command(),
			command.Group("bench", "measure parts of the system on this machine",
				benchlookup.Command(),
				benchbalance.Command(),
				benchcaps.Command(),
				benchdecide.Command(),
				benchpath.Command(),
				benchplacement.Command(),
				benchoperators.Command(),
				benchcapacity.Command(),
				benchfleet.Command(),
			),
			load.Command(),
			quickstart.Command(),
		},
	}
}
