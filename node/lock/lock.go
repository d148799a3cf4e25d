//go:build !lockorder && !planted_lock_order

package lock

import "sync"

// Mutex is a mutual exclusion lock.
type Mutex = sync.Mutex
