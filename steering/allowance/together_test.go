package allowance_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"heatherlock/steering"
	"heatherlock/steering/allowance"
)

// poll is the time at which a VM of pollLimit asks next.
type poll struct {
	at time.Time
	vm int
}

type polls []poll

func (p polls) Len() int           { return len(p) }
func (p polls) Less(i, j int) bool { return p[i].at.Before(p[j].at) }
func (p polls) Swap(i, j int)      { p[i], p[j] = p[j], p[i] }
func (p *polls) Push(x any)        { *p = append(*p, x.(poll)) }
func (p *polls) Pop() any {
	last := (*p)[len(*p)-1]
	*p = (*p)[:len(*p)-1]
	return last
}

// pollPause is the time between two requests of a VM that are admitted.
const pollPause = 5 * time.Millisecond

// pollLimit lets VMs that have always a request ask for credits of one limit from the same moment on, and
// again exactly when they are told to but for a delay of up to late. It returns how many requests ran in
// a time.
func pollLimit(limit allowance.Limit, vms int, late, d time.Duration, seed uint64) (ran int) {
	start := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(seed, 1))
	ledger := allowance.NewLedger(allowance.Slack{})
	accounts := make([]*allowance.Account, vms)
	due := &polls{}
	for i := range vms {
		accounts[i] = allowance.NewAccount(start, limit, vms)
		heap.Push(due, poll{start, i})
	}
	for due.Len() > 0 {
		p := heap.Pop(due).(poll)
		if p.at.Sub(start) >= d {
			return ran
		}
		a, wait := accounts[p.vm], pollPause
		a.RecordArrival(p.at)
		verdict := a.Admit(p.at)
		if verdict == allowance.AskOwner {
			a.AddWaiting()
			reply, _, ok := ledger.Report(p.at, steering.VM(fmt.Sprint("vm-", p.vm)), 1, limit, a.Report(p.at))
			if ok {
				a.ApplyReply(p.at, reply)
			}
			a.RemoveWaiting()
			verdict = a.Admit(p.at)
		}
		if verdict == allowance.Admitted {
			ran++
		} else {
			wait = a.UntilNextAsk(p.at)
		}
		if late > 0 {
			wait += time.Duration(random.Int64N(int64(late)))
		}
		heap.Push(due, poll{p.at.Add(wait), p.vm})
	}
	return ran
}

// Guards against a limit of which a part is lost, because VMs that were refused together ask again
// together and the bucket holds no more than a few requests meanwhile.
func TestVMsRefusedTogetherUseTheLimit(t *testing.T) {
	const d = 3 * time.Second
	for _, rate := range []float64{2.6, 10, 50} {
		for _, vms := range []int{2, 8, 12, 100} {
			for _, late := range []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond} {
				if offered := float64(vms) / (pollPause + late).Seconds(); offered < rate {
					continue // they ask for less than the limit
				}
				worst := 1 << 30
				for seed := range uint64(20) {
					worst = min(worst, pollLimit(allowance.TargetLimit(rate), vms, late, d, seed))
				}
				wanted := int(0.9 * rate * d.Seconds())
				assert.Check(t, worst >= wanted, "limit %.1f, %d VMs, up to %v late: %d requests in %v, wanted %d", rate, vms, late, worst, d, wanted)
			}
		}
	}
}
