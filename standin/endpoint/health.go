package endpoint

import (
	"net/http"
	"strconv"
	"time"
)

// HealthPath is the path of the health check, which is no request.
const HealthPath = "/health"

// SetCold makes the health check say for a time that the target is cold.
func (e *Endpoint) SetCold(left time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldUntil = time.Now().Add(left)
}

// ColdLeft returns for how much longer the target is cold, 0 if it is not.
func (e *Endpoint) ColdLeft() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(time.Until(e.coldUntil), 0)
}

// SetIll makes the health check say that the target is ill, whatever it does with requests.
func (e *Endpoint) SetIll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ill = true
}

// Checks returns the number of health checks that were answered.
func (e *Endpoint) Checks() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.checks
}

func (e *Endpoint) serveHealth(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.checks++
	w.Header().Set("X-Instance-Id", e.cfg.ID)
	w.Header().Set("X-Cold-Ms", strconv.FormatInt(max(time.Until(e.coldUntil).Milliseconds(), 0), 10))
	status := http.StatusOK
	if e.ill {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}
