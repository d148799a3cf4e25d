package platform

import (
	"maps"
	"slices"
	"strings"
	"time"

	"heatherlock/objects"
)

// vmHistory holds the states of the list of VMs with their start times, so
// that reads can lag. Store.mu guards it.
type vmHistory struct {
	lag    time.Duration
	states []vmList
}

type vmList struct {
	from time.Time
	vms  map[string]objects.VM
}

// maxVMStates is the number of states above which the older half is dropped.
const maxVMStates = 4096

// SetVM adds a VM to the list or replaces its entry. If vm.Since is zero, SetVM sets
// it to the current time.
func (s *Store) SetVM(vm objects.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if vm.Since.IsZero() {
		vm.Since = now
	}
	vms := maps.Clone(s.vms.latest())
	if vms == nil {
		vms = map[string]objects.VM{}
	}
	vms[vm.Name] = vm
	s.vms.push(now, vms)
}

// SetVMState changes the state of a listed VM. It does nothing if the VM is not listed.
func (s *Store) SetVMState(name string, state objects.VMState) {
	s.mu.Lock()
	vm, ok := s.vms.latest()[name]
	s.mu.Unlock()
	if !ok {
		return
	}
	vm.State = state
	vm.Since = time.Time{}
	s.SetVM(vm)
}

// SetVMLag makes reads return the list as it was lag ago.
func (s *Store) SetVMLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms.lag = lag
}

func (h *vmHistory) latest() map[string]objects.VM {
	if len(h.states) == 0 {
		return nil
	}
	return h.states[len(h.states)-1].vms
}

func (h *vmHistory) push(now time.Time, vms map[string]objects.VM) {
	if n := len(h.states); n > 0 && h.lag == 0 {
		h.states = h.states[n-1:]
	}
	h.states = append(h.states, vmList{from: now, vms: vms})
	if len(h.states) > maxVMStates {
		h.states = slices.Clone(h.states[len(h.states)-maxVMStates/2:])
	}
}

// at returns the list as it was lag before now, sorted by name.
func (h *vmHistory) at(now time.Time) []objects.VM {
	seen := now.Add(-h.lag)
	list := []objects.VM{}
	for i := len(h.states) - 1; i >= 0; i-- {
		if !h.states[i].from.After(seen) {
			list = slices.AppendSeq(list, maps.Values(h.states[i].vms))
			break
		}
	}
	slices.SortFunc(list, func(a, b objects.VM) int { return strings.Compare(a.Name, b.Name) })
	return list
}
