//go:build lockorder

package lock_test

import (
	"strings"
	"testing"

	"github.com/sasha-s/go-deadlock"
	"gotest.tools/v3/assert"

	"heatherlock/node/lock"
)

// Guards against a check of lock orders that finds nothing: the order that stopped entry VMs, in which the reader's
// lock and the placement lock were taken in turn, must be reported although the two never meet.
func TestOrderThatStoppedVMsIsReported(t *testing.T) {
	var report strings.Builder
	reported := false
	before := deadlock.Opts
	deadlock.Opts.LogBuf, deadlock.Opts.OnPotentialDeadlock = &report, func() { reported = true }
	defer func() { deadlock.Opts = before }()
	var reader, placement lock.Mutex
	takeBoth := func(first, second *lock.Mutex) {
		first.Lock()
		defer first.Unlock()
		second.Lock()
		defer second.Unlock()
	}
	takeBoth(&reader, &placement)
	assert.Assert(t, !reported)
	takeBoth(&placement, &reader)
	assert.Assert(t, reported)
	assert.Assert(t, strings.Contains(report.String(), "Inconsistent locking"), report.String())
}
