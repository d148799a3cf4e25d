package catchup

import "time"

// Wait is what a VM that is behind waits for.
type Wait uint8

// Waits.
const (
	// Nothing: it is not behind, or has not begun.
	Nothing Wait = iota
	// Parts: parts of the configuration are coming in.
	Parts
	// Room: all VMs that have it are busy telling others.
	Room
	// Answers: those that have it do not answer, or their answers break off: the link.
	Answers
	// Holder: it hears no VM that has it, and reads the store.
	Holder
)

var waitNames = [...]string{"", "parts under way", "no VM that has it has room", "VMs that have it do not answer", "hears no VM that has it, reads the store"}

// String says in words what it waits for.
func (w Wait) String() string {
	if int(w) >= len(waitNames) {
		return "unknown"
	}
	return waitNames[w]
}

// Progress is how far a VM is with a newer configuration.
type Progress struct {
	// Version is that of the parts below; 0 before the first answer.
	Version uint64
	Missing int
	Of      int
	Wait    Wait
}

// Progress returns how far this VM is; the zero value if it is not behind.
func (f *Fetcher) Progress() Progress {
	if p := f.progress.Load(); p != nil {
		return *p
	}
	return Progress{}
}

// show makes known what the transfer waits for.
func (t *transfer) show(w Wait) {
	missing, of := t.draft.Left()
	t.Fetcher.progress.Store(&Progress{Version: t.draft.Version(), Missing: missing, Of: of, Wait: w})
}

// idleWait says why no peer is to be asked now.
func (t *transfer) idleWait(now time.Time) Wait {
	holders, busy := 0, 0
	for _, p := range t.cfg.Peers(t.outgrown()) {
		holders++
		if now.Before(t.avoid[p.VM]) && t.busy[p.VM] {
			busy++
		}
	}
	switch {
	case holders == 0:
		return Holder
	case busy > 0:
		return Room
	}
	return Answers
}
