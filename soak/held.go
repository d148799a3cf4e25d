package soak

import (
	"bufio"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// heldGauges are the gauges of an entry VM that are 0 once all callers have left.
var heldGauges = []string{"gateway_held_bytes", "gateway_requests_running", "gateway_caller_connections", "gateway_connections_held_back"}

const (
	// toldWithin is how long after its start an entry VM has its gauges, which it sets once a second.
	toldWithin = 3 * time.Second
	// longestAttempt is how long an attempt may go on after its caller has left: the deadline of a request that states none, and a second.
	longestAttempt = 31 * time.Second
	// goroutinesOfAnAttempt bounds the goroutines of an attempt whose caller has left, with those of the connection to its target.
	goroutinesOfAnAttempt = 4
)

// goroutinesOfAPeer bounds the goroutines for the connections that an entry VM and another one have open to each other while
// idle, beside those for requests that were passed on: for updates and configuration, in both directions.
const goroutinesOfAPeer = 12

// heldBy returns what an entry VM still holds for callers and targets that have left, or why it is not known. left is how
// long ago the last caller has left.
func (s *system) heldBy(d *daemon, left time.Duration) []string {
	gauges, err := s.gaugesOf(d)
	if err != nil {
		return []string{err.Error()}
	}
	var held []string
	for _, name := range heldGauges {
		if gauges[name] != 0 {
			held = append(held, fmt.Sprint(name, " ", gauges[name]))
		}
	}
	if pools, targets := gauges["gateway_target_pools"], gauges["gateway_targets"]; pools > targets {
		held = append(held, fmt.Sprintf("connections of %v targets, %v are known", pools, targets))
	}
	accounts := gauges["gateway_caller_accounts"]
	if accounts > 0 && left > longestAttempt {
		held = append(held, fmt.Sprint("accounts of ", accounts, " callers"))
	}
	allowed := s.goroutinesBefore + gauges["gateway_target_connections"] + gauges["gateway_peer_connections"] + goroutinesOfAnAttempt*accounts + float64(goroutinesOfAPeer*len(s.daemons))
	if got := gauges["gateway_goroutines"]; got > allowed {
		held = append(held, fmt.Sprintf("%v goroutines, %v allowed", got, allowed))
	}
	return held
}

// noteGoroutines records how many goroutines an entry VM has before the first caller comes. A build that does not tell is not
// checked for them.
func (s *system) noteGoroutines() error {
	for _, d := range s.daemons {
		got := 0.0
		for end := time.Now().Add(toldWithin); got == 0; time.Sleep(50 * time.Millisecond) {
			gauges, err := s.gaugesOf(d)
			if err != nil {
				return err
			}
			if got = gauges["gateway_goroutines"]; got == 0 && time.Now().After(end) {
				got = math.Inf(1)
			}
		}
		s.goroutinesBefore = max(s.goroutinesBefore, got)
	}
	return nil
}

// gaugesOf returns the metrics of an entry VM by name. Of several with the same name, which differ in their labels, it holds one.
func (s *system) gaugesOf(d *daemon) (map[string]float64, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s/metrics", d.address(s.ports[7])))
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	gauges := make(map[string]float64)
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), " ")
		name, _, _ = strings.Cut(name, "{")
		if number, err := strconv.ParseFloat(strings.TrimSpace(value), 64); err == nil {
			gauges[strings.TrimPrefix(name, "heatherlock_")] = number
		}
	}
	return gauges, nil
}
