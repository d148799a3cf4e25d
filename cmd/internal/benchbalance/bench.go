package benchbalance

import (
	"fmt"
	"io"
	"text/tabwriter"

	"heatherlock/cmd/internal/command"
)

// Options holds the seed, the simulated time and the output file of a run.
type Options = command.SimOptions

// Report holds the results of all experiments.
type Report struct {
	Seed     uint64     `json:"seed"`
	Seconds  float64    `json:"seconds"`
	Ways     []Row      `json:"ways"`
	Uneven   []Row      `json:"uneven"`
	Faults   []Row      `json:"faults"`
	Choice   []Row      `json:"choice"`
	Waits    []Row      `json:"waits"`
	Bursts   []Row      `json:"bursts"`
	Holding  []Row      `json:"holding_time"`
	Dividing []Row      `json:"dividing"`
	Spill    []Spill    `json:"spill"`
	Zones    []ZonesRow `json:"zones"`
}

// Run simulates all experiments. Equal options give equal reports.
func Run(o Options) Report {
	return Report{
		Seed: o.Seed, Seconds: o.For.Seconds(),
		Ways:     compareStrategies(o),
		Uneven:   compareUneven(o),
		Faults:   compareFaults(o),
		Choice:   compareChoice(o),
		Waits:    compareWaits(o),
		Bursts:   compareBursts(o),
		Holding:  compareLoanHold(o),
		Dividing: compareDivision(o),
		Spill:    compareSpill(o),
		Zones:    compareZones(o),
	}
}

// WriteText writes the report as tables.
func (r Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "seed %d, %.0f s simulated per line; 20 targets of 4 slots, mean service 50 ms alone\n", r.Seed, r.Seconds)
	writeRows(w, "Ways to share slots, requests spread evenly", r.Ways)
	writeRows(w, "Half of all requests at one of 22 entry VMs", r.Uneven)
	writeRows(w, "Faults: the 5 s after one", r.Faults)
	writeRows(w, "Choice among targets with a free slot", r.Choice)
	writeRows(w, "How long a request may wait, one zone alone", r.Waits)
	writeRows(w, fmt.Sprintf("How long a request may wait when %d more arrive at once every %s", burstSize, burstInterval), r.Bursts)
	writeRows(w, "How long a borrowed slot is kept", r.Holding)
	writeRows(w, "Dividing at fixed times or at once, half of all requests at one of 22 entry VMs", r.Dividing)
	writeSpills(w, r.Spill)
	writeZones(w, r.Zones)
}

func writeRows(w io.Writer, title string, rows []Row) {
	fmt.Fprintf(w, "\n%s\n", title)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "entry VMs\tload %\tp50 ms\tp99 ms\tanswered %\trefused %\tlost %\tover slots /1000\tidle while waiting %\tmessages/request\tbusiest VM %\t  way\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%d\t%.0f\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%.1f\t%.2f\t%.2f\t%.0f\t  %s\t\n", r.EntryVM, 100*r.Load, r.P50Ms, r.P99Ms,
			r.AnsweredPercent, r.RefusedPercent, r.LostPercent, r.OverSlots, r.IdlePercent, r.Messages, r.BusiestPercent, r.Way)
	}
	_ = t.Flush()
}

func writeSpills(w io.Writer, spills []Spill) {
	fmt.Fprint(w, "\nWaiting in the own queue, or going to another zone\n")
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "other zone\tits load %\tload %\twaits at most ms\tspilled %\trefused %\tp50 ms\tp99 ms\t")
	for _, s := range spills {
		wait := fmt.Sprintf("%.0f", s.MaxWaitMs)
		if s.Patient {
			wait += ", then 500"
		}
		fmt.Fprintf(t, "%s\t%.0f\t%.0f\t%s\t%.1f\t%.2f\t%.1f\t%.1f\t\n", s.OtherZone, 100*s.OtherLoad, 100*s.Load, wait, s.SpilledPercent, s.RefusedPercent, s.P50Ms, s.P99Ms)
	}
	_ = t.Flush()
}

func writeZones(w io.Writer, rows []ZonesRow) {
	fmt.Fprintf(w, "\nSix zones in three regions: where refused work goes (36 slots a zone, hints told every %s)\n", headroomInterval)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "answered %\tspilled %\tp50 ms\tp99 ms\twasted trips /1000\tswitches/min\tovershoot %\trecovery s\t  way\t  scenario\t")
	for _, r := range rows {
		fmt.Fprintf(t, "%.2f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t  %s\t  %s\t\n", r.AnsweredPercent, r.SpilledPercent, r.P50Ms, r.P99Ms,
			r.WastedTrips, r.SwitchesPerMinute, r.OvershootPercent, r.RecoverySeconds, r.Way, r.Scenario)
	}
	_ = t.Flush()
}

// WriteJSON writes the report to a file as one JSON object.
func (r Report) WriteJSON(file string) error {
	return command.WriteReport(file, r)
}
