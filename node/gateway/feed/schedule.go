package feed

import "time"

const (
	// maxReadInterval is the age of the state at which the VM of rank 0 reads the store again. A
	// blocking watch would return at once, since the entries of targets change with every
	// heartbeat. With this interval and the delays per rank below, a change is known on all VMs
	// well within the 2.5 s that a leaving target is given.
	maxReadInterval = 1100 * time.Millisecond
	// peerReadTimeout is how long a read that another VM has started is waited for. With many
	// targets a small VM takes longer for a read than the delay between two ranks, and without this
	// wait all VMs ranked after it would read as well.
	peerReadTimeout = 700 * time.Millisecond
	// rankDelay is how much later the VM of each further rank reads if none before it has. If a
	// reader has crashed, is cut off or is paused, this costs one delay, with no lease that has to
	// expire first; two VMs that read at the same time do no harm.
	rankDelay = 200 * time.Millisecond
	// The first fullDelayRanks ranks are a full rankDelay apart. They are enough to cover the loss
	// of a zone. The VMs of the ranks behind them wait for all these delays and then read a
	// highRankDelay apart, because in a large fleet they must not all read when a result is late
	// for a moment. A VM that receives no heartbeats has rank 0.
	fullDelayRanks = 4
	highRankDelay  = 10 * time.Millisecond
	// The first startReaders VMs of each zone that starts read the store at once. The others wait
	// for what these send them, the next for startReadDelay and each further one for startReadStep
	// longer, but none longer than maxStartReadDelay: if a whole fleet read all targets, the store's
	// link would carry as many copies as there are VMs.
	startReaders      = 2
	startReadDelay    = 400 * time.Millisecond
	startReadStep     = 100 * time.Millisecond
	maxStartReadDelay = 3 * time.Second
	// peerStartDelay is how long a VM waits for the targets of a peer that has them. With thousands of
	// targets and a slow link they take seconds, and reading them from the store takes longer.
	peerStartDelay = 10 * time.Second
	// unheardReadDelay is the longest wait of a VM that receives no heartbeats, and recordsWait that
	// of one that has not read the records of the other VMs yet.
	unheardReadDelay = 1500 * time.Millisecond
	recordsWait      = 2 * time.Second
	// pullersPerZone is how many VMs of a zone may pull from a VM of another zone. The others
	// pull from those, because a VM that serves seventy others at once is busy with it for a
	// second.
	pullersPerZone = 2
	// zonePeerWait is how long the other VMs of a zone wait for a peer of their zone to have the
	// update, before they pull from another zone.
	zonePeerWait = 250 * time.Millisecond
)

// ReadView is what decides when a VM reads the store next.
type ReadView struct {
	// Known is set once the contents of the store are known, by a read that is Age old.
	Known bool
	Age   time.Duration
	// Rank is how many VMs read before this one, and SinceBegun how long ago one of them began to.
	Rank       int
	SinceBegun time.Duration
	// Interval is the age at which the VM of rank 0 reads again.
	Interval time.Duration
	// Uptime is the time since this VM started.
	Uptime time.Duration
	Start  StartView
}

// StartView is what a VM that knows nothing of the store knows of the others.
type StartView struct {
	// Rank is how many VMs of its zone, live or just put on record, read before it.
	Rank int
	// RecordsKnown is set once the records of the other VMs were read or could not be; before that
	// the rank means nothing. Heard is set if it receives heartbeats, PeerKnows if a live VM knows the
	// contents of the store.
	RecordsKnown, Heard, PeerKnows bool
}

// UntilRead returns how long it is until the VM must read the store; 0 or less means now.
func (v ReadView) UntilRead() time.Duration {
	if !v.Known {
		return v.Start.firstReadDelay() - v.Uptime
	}
	steps := time.Duration(min(v.Rank, fullDelayRanks))*rankDelay + time.Duration(max(v.Rank-fullDelayRanks, 0))*highRankDelay
	return max(v.Interval+steps-v.Age, peerReadTimeout-v.SinceBegun)
}

// firstReadDelay returns how long after its start a VM reads the store if peers have not sent it all
// that it would read.
func (v StartView) firstReadDelay() time.Duration {
	switch {
	case !v.RecordsKnown:
		return recordsWait
	case v.Rank < startReaders:
		return 0
	case v.PeerKnows:
		return peerStartDelay
	}
	limit := maxStartReadDelay
	if !v.Heard {
		limit = unheardReadDelay
	}
	return min(startReadDelay+time.Duration(v.Rank-startReaders)*startReadStep, limit)
}

// PullDelay returns how long a VM waits before it pulls an update from a peer, in case a peer of its
// own zone announces the same update meanwhile. zoneRank is how many VMs of its zone pull before it.
func PullDelay(sameZone bool, zoneRank int) time.Duration {
	if sameZone || zoneRank < pullersPerZone {
		return 0
	}
	return zonePeerWait
}

// ReadInterval is the age of the state at which the VM of rank 0 reads the store again, unless a
// bound requires more frequent reads.
const ReadInterval = maxReadInterval
