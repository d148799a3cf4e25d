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
	// Config tells more of it.
	Config Config `json:"config"`
	// Fleet is what this VM knows of the others on record, by zone and name.
	Fleet []Peer `json:"fleet"`
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
	// Workspaces are those with an allowance that this VM has met or owns, by name.
	Workspaces []Workspace `json:"workspaces"`
}

// Workspace is what became of a workspace's requests on one VM since it started.
type Workspace struct {
	Name steering.Workspace `json:"name"`
	// Admitted were let run by its allowance, Beyond refused by it.
	Admitted int64 `json:"admitted"`
	Beyond   int64 `json:"beyond"`
	// NotRun counts those admitted that were refused later without having run, by reason.
	NotRun map[steering.Reason]int64 `json:"not_run,omitempty"`
	// Owned is set on the VM that owns the workspace.
	Owned *Allowance `json:"owned,omitempty"`
}

// Allowance is what the owner of a workspace knows.
type Allowance struct {
	// Rate and Burst are as declared; Limit is what the owner lends a second, for the part
	// of the fleet that it hears.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	Limit float64 `json:"limit"`
	// Left is in the bucket, below 0 for a debt; Lent lies with VMs.
	Left float64 `json:"left"`
	Lent float64 `json:"lent"`
	// Demand is what its callers ask over all VMs, in requests per second, on VMs of them.
	Demand float64 `json:"demand"`
	VMs    int     `json:"vms"`
	// Low tells that VMs ask before a request runs.
	Low bool `json:"low"`
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

// Config is which configuration the VM follows.
type Config struct {
	// InForceMs is how long it has been in force here.
	InForceMs int64 `json:"in_force_ms"`
	// Content is a hash of its content: 32 bits, in hexadecimal.
	Content string `json:"content"`
	// Newest is the newest version known to exist, and NewestFrom the VM that told of it
	// first; empty if it was the store.
	Newest     uint64      `json:"newest"`
	NewestFrom steering.VM `json:"newest_from,omitempty"`
	// BehindMs is how long a newer one has been known.
	BehindMs int64 `json:"behind_ms"`
	// PartsMissing of Parts have not come yet, and Wait says what for.
	PartsMissing int    `json:"parts_missing"`
	Parts        int    `json:"parts"`
	Wait         string `json:"wait,omitempty"`
	// Rejected is the newest written one if it cannot be used, as far as this VM read it.
	Rejected *Rejected `json:"rejected,omitempty"`
}

// Rejected is a configuration that cannot be used.
type Rejected struct {
	// Version is as written.
	Version string `json:"version"`
	Reason  string `json:"reason"`
}

// Peer is what the VM knows of another by its heartbeats.
type Peer struct {
	VM     steering.VM     `json:"vm"`
	Zone   steering.Zone   `json:"zone"`
	Region steering.Region `json:"region"`
	// Control is host:port of its control listener.
	Control string `json:"control"`
	Live    bool   `json:"live"`
	Ready   bool   `json:"ready"`
	Leaving bool   `json:"leaving"`
	// ConfigVersion is in force there as of ToldMs ago, and has been for at least
	// InForceMs. ToldMs is -1 if it never wrote to this VM.
	ConfigVersion uint64 `json:"config_version"`
	Newest        uint64 `json:"newest"`
	Content       string `json:"content"`
	Wait          string `json:"wait,omitempty"`
	InForceMs     int64  `json:"in_force_ms"`
	ToldMs        int64  `json:"told_ms"`
}
