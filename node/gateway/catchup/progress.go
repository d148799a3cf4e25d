package catchup

import "time"

// Wait is what a VM that is behind waits for.
type Wait uint8

const (
	// NotWaiting means that the VM is not behind, or has not begun to fetch.
	NotWaiting Wait = iota
	// ReceivingPieces means that pieces of the configuration are arriving.
	ReceivingPieces
	// PeersBusy means that no VM that has the configuration can be asked now, and that at
	// least one of them is busy sending it to others.
	PeersBusy
	// PeersUnresponsive means that the VMs that have the configuration do not respond, or that
	// their responses break off, which points to the link. It also covers a VM that has to let
	// others of its zone or region fetch first.
	PeersUnresponsive
	// NoPeerAvailable means that the VM receives heartbeats from no VM that has the
	// configuration, and reads the store instead.
	NoPeerAvailable
)

var waitNames = [...]string{"", "parts under way", "no VM that has it has room", "VMs that have it do not answer", "hears no VM that has it, reads the store"}

// String returns the description that status output shows, or "unknown" for an invalid value.
func (w Wait) String() string {
	if int(w) >= len(waitNames) {
		return "unknown"
	}
	return waitNames[w]
}

// Progress is how much of a newer configuration a VM has fetched.
type Progress struct {
	// Version is the version being fetched, or 0 before the first response.
	Version uint64
	// Missing is the number of buckets still to fetch, out of Total.
	Missing int
	Total   int
	Wait    Wait
}

// Progress returns the progress of this VM, or the zero value if it is not behind.
func (f *Fetcher) Progress() Progress {
	if p := f.progress.Load(); p != nil {
		return *p
	}
	return Progress{}
}

// publishProgress makes the transfer's state available to Fetcher.Progress.
func (t *transfer) publishProgress(w Wait) {
	missing, total := t.assembler.Remaining()
	t.Fetcher.progress.Store(&Progress{Version: t.assembler.Version(), Missing: missing, Total: total, Wait: w})
}

// waitReason returns why no peer is eligible now.
func (t *transfer) waitReason(now time.Time) Wait {
	holders, busy := 0, 0
	for _, p := range t.cfg.Peers(t.obsoleteVersion()) {
		holders++
		if now.Before(t.avoidUntil[p.VM]) && t.busy[p.VM] {
			busy++
		}
	}
	switch {
	case holders == 0:
		return NoPeerAvailable
	case busy > 0:
		return PeersBusy
	}
	return PeersUnresponsive
}
