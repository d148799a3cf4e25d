package witness

import (
	"cmp"
	"fmt"
	"time"
)

func (w *Witness) judgeUploads(v *Verdict) Finding {
	f := Finding{Promise: PromiseUploads, Observed: len(w.callers.uploads)}
	whole := map[string]bool{}
	for _, e := range w.executions {
		u, ok := w.callers.uploads[e.Request]
		if ok && e.Outcome == EndAnswered && e.Sum == u.sum && e.Bytes == u.bytes {
			whole[e.Request] = true
		}
	}
	for request, u := range w.callers.uploads {
		if u.cuts > 0 || (u.acked || u.answerLost) && !whole[request] {
			f.Broken++
			f.Detail = fmt.Sprintf("upload %s was cut: %s", request, cmp.Or(u.cutReason, "other bytes arrived than were sent"))
		}
	}
	f.Exercised = len(whole) > 0
	v.UploadsCut = f.Broken
	return f
}

func (w *Witness) judgeConfig(v *Verdict, now time.Time) Finding {
	f := Finding{Promise: PromiseConfigFast, Observed: len(w.configs.accepted)}
	for _, a := range w.configs.accepted {
		for _, vm := range a.expected {
			at, seen := a.inForce[vm]
			if !seen {
				at = now
			}
			took := at.Sub(a.at)
			v.ConfigSlowest = max(v.ConfigSlowest, took)
			if took > ConfigGrace {
				f.Broken++
				f.Detail = fmt.Sprintf("version %d took %s at %s", a.version, took.Round(time.Millisecond), vm)
				continue
			}
			if !seen {
				f.Broken++
				f.Detail = fmt.Sprintf("version %d was not yet seen at %s when the run ended", a.version, vm)
			}
		}
	}
	f.Exercised = f.Observed > 0
	return f
}

func (w *Witness) judgeCrashes(v *Verdict) Finding {
	type crashKey struct{ request, region string }
	f := Finding{Promise: PromiseCrashLimit}
	crashes := map[crashKey]int{}
	for _, e := range w.executions {
		if e.Outcome != EndCausedCrash {
			continue
		}
		f.Observed++
		l := crashKey{e.Request, w.regions[e.Place]}
		crashes[l]++
		if crashes[l] > MaxCrashes {
			f.Broken++
			f.Detail = fmt.Sprintf("request %s took down %d targets of %s", l.request, crashes[l], l.region)
		}
	}
	f.Exercised = f.Observed > 0
	v.TargetsLost = f.Observed
	return f
}

func (w *Witness) judgeReverts(*Verdict) Finding {
	f := Finding{Promise: PromiseNoRevert, Observed: len(w.configs.seen), Broken: w.configs.reverts}
	f.Exercised = len(w.configs.accepted) > 0 && f.Observed > 0
	return f
}
