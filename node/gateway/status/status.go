// Package status is what an entry VM on the users' platform tells operators of what
// it goes by, as JSON from GET /v1/status on its control listener.
package status

import "heatherlock/steering"

// Path is where an entry VM serves its status.
const Path = "/v1/status"

// Status is what one entry VM goes by at one moment.
type Status struct {
	VM     steering.VM     `json:"vm"`
	Zone   steering.Zone   `json:"zone"`
	Region steering.Region `json:"region"`
	// Ready VMs take requests; Leaving ones are about to end.
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving"`
	// ConfigVersion is the configuration in force, 0 before one is known.
	ConfigVersion uint64 `json:"config_version"`
	// StoreAgeMs is the age of the read of the store that it goes by; -1 before one.
	StoreAgeMs int64 `json:"store_age_ms"`
	// StoreFails is set while its own reads fail.
	StoreFails bool `json:"store_fails"`
	// ReadRank is how many live VMs read the store before this one.
	ReadRank int `json:"read_rank"`
	// PeersLive and PeersKnown count entry VMs with this one.
	PeersLive  int `json:"peers_live"`
	PeersKnown int `json:"peers_known"`
	// DarkZones have no entry VM that this one hears.
	DarkZones []steering.Zone `json:"dark_zones"`
	// EvacuatedZones get nothing new.
	EvacuatedZones []steering.Zone `json:"evacuated_zones"`
	// RequestsRunning and CallerConnections are this VM's own.
	RequestsRunning   int       `json:"requests_running"`
	CallerConnections int       `json:"caller_connections"`
	Services          []Service `json:"services"`
}

// Service is what the VM goes by for one service.
type Service struct {
	Name steering.Service `json:"name"`
	// Targets counts all, of which Closed get nothing new, Cold get few requests
	// and Ejected are passed over.
	Targets int               `json:"targets"`
	Closed  int               `json:"closed"`
	Cold    int               `json:"cold"`
	Ejected []steering.Target `json:"ejected"`
	// KeysKept is the part of its keys that this VM's region does not lend.
	KeysKept float64 `json:"keys_kept"`
	// TriesLeft is what is left here of the budget of further tries.
	TriesLeft float64 `json:"tries_left"`
	// RequestsPerSecond is what this VM's callers ask, RunMs the time of a warm run.
	RequestsPerSecond float64 `json:"requests_per_second"`
	RunMs             float64 `json:"run_ms"`
}
