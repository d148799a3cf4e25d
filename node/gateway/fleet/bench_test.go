package fleet

import (
	"fmt"
	"testing"
	"time"

	"heatherlock/steering"
)

// benchRoster returns the roster of one of 195 VMs in 9 zones that has received a heartbeat from
// each other VM, and these heartbeats.
func benchRoster(b *testing.B, now time.Time) (*Roster, []Beat) {
	b.Helper()
	const size, zones = 195, 9
	member := func(i int) Member {
		return Member{Name: steering.VM(fmt.Sprint("termas-entry-", i)), Zone: steering.Zone(fmt.Sprint("zone-", i%zones)), Region: "here", Peer: fmt.Sprint(i)}
	}
	r := NewRoster(member(0))
	var peerIDs []uint32
	for i := 1; i < size; i += zones {
		peerIDs = append(peerIDs, shortID(idOf(member(i).Name)))
	}
	var beats []Beat
	for i := 1; i < size; i++ {
		beat := Beat{From: member(i), Incarnation: 7, Number: 1, Serving: true}
		if i%zones == 1 {
			beat.Mates = peerIDs
		}
		r.HandleBeat(now, beat)
		beats = append(beats, beat)
	}
	return r, beats
}

// BenchmarkHeard measures a heartbeat from another zone that names the VMs of that zone.
func BenchmarkHeard(b *testing.B) {
	now := time.Unix(1000, 0)
	r, beats := benchRoster(b, now)
	for n := range b.N {
		beat := beats[0]
		beat.Number = uint64(n) + 2
		r.HandleBeat(now, beat)
	}
}

// BenchmarkLive measures listing the live VMs.
func BenchmarkLive(b *testing.B) {
	now := time.Unix(1000, 0)
	r, _ := benchRoster(b, now)
	for range b.N {
		r.Live(now, false)
	}
}

// BenchmarkDecode measures decoding a heartbeat from another zone.
func BenchmarkDecode(b *testing.B) {
	_, beats := benchRoster(b, time.Unix(1000, 0))
	beats[0].StoreDigest.Revision, beats[0].StoreDigest.Content = 123456, 1<<60
	raw, err := encode(beats[0], false)
	if err != nil {
		b.Fatal(err)
	}
	for range b.N {
		if _, _, err := decode(raw); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkEncode measures encoding a heartbeat from another zone.
func BenchmarkEncode(b *testing.B) {
	_, beats := benchRoster(b, time.Unix(1000, 0))
	for range b.N {
		if _, err := encode(beats[0], false); err != nil {
			b.Fatal(err)
		}
	}
}
