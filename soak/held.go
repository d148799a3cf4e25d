package soak

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// heldGauges are the gauges of an entry VM that are 0 once all callers have left.
var heldGauges = []string{"gateway_held_bytes", "gateway_requests_running", "gateway_caller_connections", "gateway_connections_held_back"}

// heldBy returns the gauges of an entry VM that are not 0, or why they are not known.
func (s *system) heldBy(d *daemon) []string {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://%s/metrics", d.address(s.ports[7])))
	if err != nil {
		return []string{err.Error()}
	}
	defer response.Body.Close()
	var held []string
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		name, value, _ := strings.Cut(lines.Text(), " ")
		name, _, _ = strings.Cut(name, "{")
		for _, gauge := range heldGauges {
			if name == "heatherlock_"+gauge && strings.TrimSpace(value) != "0" {
				held = append(held, lines.Text())
			}
		}
	}
	return held
}
