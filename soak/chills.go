package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// chills are reads at targets of which one becomes cold while the store, which would say so, is away.
var chills = part{name: "chills",
	prepare: func(s *system) error {
		s.addPartRoute("thaw", "safe", loftService, 400*time.Millisecond, time.Second, 0)
		for n := range chillTargets {
			if err := s.addPartTarget(loftService, n, targetRunTime, listenPlain); err != nil {
				return err
			}
		}
		return nil
	},
	plan: func(o Options) []step {
		r := o.random(29)
		at := 3*time.Second + time.Duration(r.IntN(int((o.Length-recoveryPhase-3*time.Second)/2)))
		n, before := r.IntN(chillTargets), chillAfter+time.Duration(r.IntN(1000))*time.Millisecond
		return []step{
			{at, fmt.Sprintf("the store is silent for %v", before+chillSpan+time.Second), func(s *system) {
				s.keepStoreAway(before + chillSpan + time.Second)
			}},
			{at + before, fmt.Sprintf("target %d of the loft is cold for %v", n, chillSpan), func(s *system) {
				t, coldAt := s.partTargetsOf(loftService)[n], time.Now()
				t.SetCold(chillSpan)
				time.AfterFunc(chillSpan, func() { s.checkChill(t, coldAt) })
			}},
		}
	},
	run: func(s *system, o Options) {
		var all sync.WaitGroup
		client := http.Client{Timeout: time.Second}
		r := o.random(600)
		for n, began := 0, time.Now(); o.pause(began, 15*time.Millisecond); n++ {
			d := s.daemons[r.IntN(len(s.daemons))]
			all.Go(func() { s.thaw(&client, d, n) })
		}
		all.Wait()
	}}

const (
	loftService  = "loft"
	chillTargets = 2
	// chillAfter is how long the store has been away at least when a target becomes cold, and chillSpan how long that lasts.
	chillAfter = 3 * time.Second
	chillSpan  = 2500 * time.Millisecond
	// loftColdRate is what a cold target is to get, in requests a second, and loftAllowed what it may get within any second.
	loftColdRate = 8
	loftAllowed  = loftColdRate*3/2 + 8
)

// thawed says to which entry VM a caller sent a request, and when.
type thawed struct {
	vm   string
	sent time.Time
}

func (s *system) thaw(client *http.Client, d *daemon, n int) {
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/thaw/%d", d.address(s.ports[0]), n%60), nil)
	if err != nil {
		return
	}
	request.Host = host
	id := fmt.Sprint("thaw-", n)
	request.Header.Set("X-Request-Id", id)
	s.thawSent.Store(id, thawed{d.name, time.Now()})
	request.Header.Set("X-Affinity-Key", fmt.Sprint(n%60))
	request.Header.Set("Api-Key", apiKeyOf(workspaceNames[0]))
	if response, err := client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

// checkChill checks how many requests reached a target in each second since it became cold.
func (s *system) checkChill(t *target, coldAt time.Time) {
	arrivals := t.ArrivedAfter(coldAt)
	first, most, early, by := 0, 0, 0, make(map[string]int)
	var each []string
	for n, a := range arrivals {
		if a.At.After(coldAt.Add(chillSpan)) {
			break
		}
		for a.At.Sub(arrivals[first].At) >= time.Second {
			first++
		}
		most = max(most, n-first+1)
		if known, ok := s.thawSent.Load(a.ID); ok {
			request := known.(thawed)
			by[request.vm]++
			each = append(each, fmt.Sprintf("%s sent to %s at %d ms, arrived at %d ms", a.ID, request.vm, request.sent.Sub(coldAt).Milliseconds(), a.At.Sub(coldAt).Milliseconds()))
			if request.sent.Before(coldAt) {
				early++
			}
		}
	}
	if most > loftAllowed {
		s.findings.add("%s got %d requests in a second while it was cold and the store was away, %d allowed; in all %v by entry VM, %d sent before it: %s", t.name, most, loftAllowed, by, early, strings.Join(each, "; "))
	}
}
