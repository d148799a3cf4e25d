// Command rig runs one scenario of the review: it starts a small deployment on loopback addresses, with
// stand-ins for the platform, its endpoints and its clients, and checks one rule from what these see. It exits
// with 1 if the rule was broken, 0 if it held, and 2 if the scenario could not run. With TROUBLE=0 in the
// environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario runs on a deployment and returns how often the rule was broken.
type scenario struct {
	zones    map[string]string
	machines []string // the zone of each
	run      func(d *deployment, trouble bool) (broken int, err error)
	// allowed is how often the rule allows it.
	allowed int
}

var scenarios = map[string]scenario{
	"rolling-restart":  {zonesOfRegion, []string{nearZone, nearZone, farZone, farZone}, restartInTurn, 0},
	"silent-endpoints": {zonesOfRegion, []string{nearZone, nearZone, farZone, farZone}, leaveSilentEndpoints, 3},
	"pipelined-stop":   {zonesOfRegion, []string{nearZone, nearZone, farZone, farZone}, stopUnderPipelines, 0},
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: rig SCENARIO RECORD")
		return exitNotRun
	}
	s, known := scenarios[args[0]]
	if !known {
		fmt.Fprintln(os.Stderr, "rig: unknown scenario", args[0])
		return exitNotRun
	}
	r, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	defer r.close()
	d, err := newDeployment(r, s.zones, s.machines)
	if d != nil {
		defer d.stop()
		stopOnSignal(d)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	broken, err := s.run(d, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		r.note("not run: %v", err)
		return exitNotRun
	}
	verdict := fmt.Sprintf("%s: the rule was broken %d times, %d allowed", args[0], broken, s.allowed)
	fmt.Println(verdict)
	r.note("%s", verdict)
	if broken > s.allowed {
		return exitBroken
	}
	return exitHeld
}

// stopOnSignal ends the processes of a deployment if the rig itself is ended.
func stopOnSignal(d *deployment) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		d.stop()
		os.Exit(exitNotRun)
	}()
}
