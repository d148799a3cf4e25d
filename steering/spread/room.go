package spread

import (
	"sync"
	"time"
)

const (
	// backlog is how long what was promised may occupy the link, ahead of a new
	// promise. Longer, and those who wait could have it from others sooner; shorter,
	// and a wide link stands idle between two questions over the longest way (70 ms).
	backlog = 300 * time.Millisecond
	// pieceTime is how long one piece may occupy the receiver's link: requests of
	// callers share it and wait for no more than that.
	pieceTime = 50 * time.Millisecond
	// leastPiece and mostPiece bound a piece, in bytes before compression: the way there
	// and back costs as much as some 10 kB on a narrow link, and a piece is held in memory
	// while it is made.
	leastPiece = 32 << 10
	mostPiece  = 256 << 10
	// packed is how many times smaller routes are on the wire; 3.2 was seen with names
	// drawn at random.
	packed = 3
	// servedTime is how long one piece for each of those served at a time may occupy the
	// link: two of them on links like this one's, so that it is busy while the other's
	// question is on its way, and more on narrower ones. Played with 84 VMs, two at a time
	// took 1.5 s, three 1.6 s and four 1.8 s. leastServed are served however wide their
	// links are.
	servedTime  = 100 * time.Millisecond
	leastServed = 2
	// turnLapse is how long one that is served may take to ask for the next piece: the
	// longest way there and back, and the piece on its link beside callers' traffic.
	turnLapse = 300 * time.Millisecond
	// turnWait is when one that may not begin is told to come back: the time of a piece.
	turnWait = pieceTime
	// unknownLink is taken for a link whose rate is not stated, in bytes a second: that
	// of the smallest VMs.
	unknownLink = 10e6 / 8
)

// bytesPerSecond returns a link's rate.
func bytesPerSecond(megabits float64) float64 {
	if megabits <= 0 {
		return unknownLink
	}
	return megabits * 1e6 / 8
}

// PieceBytes returns how much a VM whose link has so many Mbit/s asks for at once, before
// compression.
func PieceBytes(megabits float64) int {
	return min(max(int(bytesPerSecond(megabits)*pieceTime.Seconds()*packed), leastPiece), mostPiece)
}

// Room bounds what a VM promises to send to others, and to how many at a time: what the
// bounds leave out is told at once to be asked for later or elsewhere.
//
// All VMs hear of a newer configuration from the one that has read it, and ask it at once.
// With few served at a time the copies multiply; served all at once, none would have the
// whole for long, and none could tell others.
//
// It is safe for concurrent use.
type Room struct {
	rate float64 // bytes a second

	mu       sync.Mutex
	promised float64 // bytes that have not passed the link yet
	at       time.Time
	// served are those that have begun to get a configuration, by what they ask for at
	// once, which follows their own link.
	served map[string]turn
}

// turn is the place of one that is served.
type turn struct {
	piece int
	last  time.Time
}

// Ask is what one VM asks of another.
type Ask struct {
	// From names the asker.
	From string
	// Bytes is how much the answer takes on the wire, Piece how much the asker takes at
	// once.
	Bytes, Piece int
	// Outline marks an answer that holds no part yet, for which no place is needed, End one
	// that holds the last.
	Outline, End bool
}

// NewRoom returns the room of a link.
func NewRoom(megabits float64) *Room {
	return &Room{rate: bytesPerSecond(megabits), served: make(map[string]turn)}
}

// Turn takes a place for the asker if it may be served besides the others, before an answer
// is made; if not, it returns when to come back. The place is kept until the last part is
// told, or until the asker is silent for too long. An outline is told without one.
func (r *Room) Turn(now time.Time, a Ask) (wait time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pass(now)
	if a.Outline {
		return 0, true
	}
	if !r.mayBegin(a) {
		return turnWait, false
	}
	r.served[a.From] = turn{piece: a.Piece, last: now}
	return 0, true
}

// Promise takes what is asked for of the room. If it does not fit it takes nothing, and
// returns when it may; a link on which nothing is promised bears any.
func (r *Room) Promise(now time.Time, a Ask) (wait time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pass(now)
	if !a.Outline && !r.mayBegin(a) {
		return turnWait, false
	}
	over := r.promised + float64(a.Bytes) - r.rate*backlog.Seconds()
	if r.promised > 0 && over > 0 {
		return time.Duration(min(over, r.promised) / r.rate * float64(time.Second)), false
	}
	r.promised += float64(a.Bytes)
	switch {
	case a.End:
		delete(r.served, a.From)
	case !a.Outline:
		r.served[a.From] = turn{piece: a.Piece, last: now}
	}
	return 0, true
}

// pass takes off what has passed the link since the last call, and those that no longer
// ask.
func (r *Room) pass(now time.Time) {
	if !r.at.IsZero() {
		r.promised = max(r.promised-r.rate*now.Sub(r.at).Seconds(), 0)
	}
	r.at = now
	for name, t := range r.served {
		if now.Sub(t.last) > turnLapse {
			delete(r.served, name)
		}
	}
}

// mayBegin reports whether the asker is served already, or may be besides the others.
func (r *Room) mayBegin(a Ask) bool {
	if _, begun := r.served[a.From]; begun || len(r.served) < leastServed {
		return true
	}
	pieces := a.Piece
	for _, t := range r.served {
		pieces += t.piece
	}
	return float64(pieces) <= r.rate*servedTime.Seconds()
}
