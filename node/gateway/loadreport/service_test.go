package loadreport_test

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"heatherlock/node/gateway/loadreport"
	"heatherlock/steering"
)

// group returns services that exchange datagrams over loopback, with a counter of what each sent.
func group(t *testing.T, size int) (all []*loadreport.Service, sent []*atomic.Int64) {
	t.Helper()
	var peers loadreport.Peers
	var conns []net.PacketConn
	for n := range size {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		assert.NilError(t, err)
		conns = append(conns, conn)
		peers.Live = append(peers.Live, loadreport.Peer{Name: steering.VM(fmt.Sprint("vm-", n)), Region: "norte", Address: conn.LocalAddr().String()})
	}
	peers.Named = peers.Live
	for n, conn := range conns {
		bytes := &atomic.Int64{}
		sent = append(sent, bytes)
		all = append(all, loadreport.New(loadreport.Config{Self: peers.Live[n].Name, Region: "norte", Regions: []steering.Region{"norte"},
			Log: log.NewNopLogger(), Scope: tally.NoopScope, Peers: func() loadreport.Peers { return peers },
			OnSend: func(_ steering.VM, n int) { bytes.Add(int64(n)) }}, conn))
	}
	return all, sent
}

// Guards against sections that do not reach other VMs, and against VMs without anything to report
// that send datagrams all the same.
func TestSectionsReachOtherVMs(t *testing.T) {
	all, sent := group(t, 2)
	got := make(chan string, 1)
	all[0].Register(loadreport.Section{ID: 20, Fill: func(_ time.Time, to steering.Region) []byte { return []byte("to " + to) }})
	all[0].Register(loadreport.Section{ID: 21, Fill: func(time.Time, steering.Region) []byte { return []byte("unknown to the receiver") }})
	all[1].Register(loadreport.Section{ID: 20, Fill: func(time.Time, steering.Region) []byte { return nil },
		Apply: func(_ time.Time, from steering.VM, data []byte) { got <- string(from) + " " + string(data) }})
	go all[1].Run(t.Context())
	all[0].Tick(t.Context(), time.Now())
	assert.Equal(t, <-got, "vm-0 to norte")
	assert.Equal(t, sent[1].Load(), int64(0))
}

// Guards against a VM that sends more the more receivers there are.
func TestSectionsStayWithinTheirBudget(t *testing.T) {
	all, sent := group(t, 80)
	all[0].Register(loadreport.Section{ID: 20, Fill: func(time.Time, steering.Region) []byte { return make([]byte, 120) }})
	now := time.Now()
	for n := range 60 {
		all[0].Tick(t.Context(), now.Add(time.Duration(n)*time.Second))
	}
	assert.Assert(t, sent[0].Load() > 0 && sent[0].Load() <= 66*1000, "%d bytes in 60 s", sent[0].Load())
}
