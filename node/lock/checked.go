//go:build lockorder || planted_lock_order

package lock

import (
	"time"

	"github.com/sasha-s/go-deadlock"
)

// Mutex is a mutual exclusion lock that reports, and ends the process, if two locks are taken in both orders, or
// if it is waited for longer than waitLimit.
type Mutex = deadlock.Mutex

// waitLimit is far above the longest time for which a lock of the daemon is held.
const waitLimit = 10 * time.Second

func init() { deadlock.Opts.DeadlockTimeout = waitLimit }
