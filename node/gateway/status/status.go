// Package status defines the status that an entry VM on the users' platform reports to operators,
// as JSON from GET /v1/status on its control listener. It also holds the client: Fetch and its
// variants request the status of VMs, Gather combines the statuses of one VM of each zone, and
// Summarize derives from them which configuration each VM uses.
package status

import "heatherlock/steering"

// Path is where an entry VM serves its status.
const Path = "/v1/status"

// Status is the state of one entry VM at one moment.
type Status struct {
	VM     steering.VM     `json:"vm"`
	Zone   steering.Zone   `json:"zone"`
	Region steering.Region `json:"region"`
	// Ready is set while the VM takes requests, Leaving once it is shutting down.
	Ready   bool `json:"ready"`
	Leaving bool `json:"leaving"`
	// ConfigVersion is the version of the configuration in force, 0 before the first one.
	ConfigVersion uint64 `json:"config_version"`
	// Config describes the configuration in force and the newest one known.
	Config Config `json:"config"`
	// Fleet holds the other entry VMs that this VM has a record of, by zone and name.
	Fleet []Peer `json:"fleet"`
	// StoreAgeMs is the age of the read of the store that the VM's state is based on; -1 before the
	// first read.
	StoreAgeMs int64 `json:"store_age_ms"`
	// StoreFails is set while the VM's own reads of the store fail.
	StoreFails bool `json:"store_fails"`
	// ReadRank is how many live VMs read the store before this one.
	ReadRank int `json:"read_rank"`
	// PeersLive and PeersKnown count live entry VMs and those on record, this one included.
	PeersLive  int `json:"peers_live"`
	PeersKnown int `json:"peers_known"`
	// UnreachableZones holds the zones from whose entry VMs this VM receives no heartbeats any
	// more.
	UnreachableZones []steering.Zone `json:"dark_zones"`
	// EvacuatedZones holds the zones under evacuation, whose targets get no new requests.
	EvacuatedZones []steering.Zone `json:"evacuated_zones"`
	// RequestsRunning and CallerConnections count the requests in flight and the open connections
	// of callers on this VM.
	RequestsRunning   int `json:"requests_running"`
	CallerConnections int `json:"caller_connections"`
	// Balancers holds, by region, the VMs that compute the weights of targets; it is empty where no
	// service uses weights.
	Balancers []Balancer `json:"balancers,omitempty"`
	Services  []Service  `json:"services"`
	// Workspaces holds the workspaces with an allowance that this VM owns or has served since it
	// started, and those that ask something of a service, by name.
	Workspaces []Workspace `json:"workspaces"`
}

// Balancer is the VM that computes the weights of a region's targets, as this VM sees it.
type Balancer struct {
	Region steering.Region `json:"region"`
	VM     steering.VM     `json:"vm"`
	// From is the VM whose weights are in force, Number and AgeMs are the number and age of the last
	// that it sent.
	From   steering.VM `json:"from,omitempty"`
	Number uint32      `json:"number"`
	AgeMs  int64       `json:"age_ms"`
}

// Workspace counts a workspace's requests on one VM since it started.
type Workspace struct {
	Name steering.Workspace `json:"name"`
	// Admitted counts the requests that the allowance admitted, Beyond those that it refused.
	Admitted int64 `json:"admitted"`
	Beyond   int64 `json:"beyond"`
	// NotRun counts, by reason, the admitted requests that were refused later without having run.
	NotRun map[steering.Reason]int64 `json:"not_run,omitempty"`
	// Shares holds what the workspace asks of each service, by service and rank.
	Shares []Share `json:"shares,omitempty"`
	// Owned is set on the VM that owns the workspace's allowance.
	Owned *Allowance `json:"owned,omitempty"`
}

// Share is what a workspace asks of a service through one VM, and what it gets while the service is short of
// capacity.
type Share struct {
	Service steering.Service `json:"service"`
	// Rank is the priority of the requests; those of equal rank share.
	Rank int `json:"rank"`
	// Demand and Share are in requests per second. They are equal while the service is not short.
	Demand float64 `json:"demand"`
	Share  float64 `json:"share"`
	// Refused counts the requests beyond the share that were refused.
	Refused int64 `json:"refused"`
	// Short is set while the service is short.
	Short bool `json:"short"`
}

// Allowance is the state of a workspace's token bucket on the VM that owns it.
type Allowance struct {
	// Rate and Burst are as configured. Limit is the rate per second at which the owner lends, for
	// the part of the fleet from which it receives heartbeats.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	Limit float64 `json:"limit"`
	// Left is what remains in the bucket, negative if it is overdrawn. Lent is what VMs hold.
	Left float64 `json:"left"`
	Lent float64 `json:"lent"`
	// Demand is how many requests per second the workspace's callers send to all VMs, VMs how many
	// VMs they send to.
	Demand float64 `json:"demand"`
	VMs    int     `json:"vms"`
	// Low is set while the bucket is nearly empty, so that VMs ask the owner before they run a
	// request.
	Low bool `json:"low"`
}

// Service is the state of one service on the VM.
type Service struct {
	Name steering.Service `json:"name"`
	// Targets counts all targets. Of these, Closed ones get no new requests, Cold ones get few, and
	// Ejected ones are skipped because they fail or do not respond.
	Targets int               `json:"targets"`
	Closed  int               `json:"closed"`
	Cold    int               `json:"cold"`
	Ejected []steering.Target `json:"ejected"`
	// Limited, Resting and SaidLeaving count the targets that, in responses to this VM, name a limit,
	// asked for rest, or said that they leave.
	Limited     int `json:"limited,omitempty"`
	Resting     int `json:"resting,omitempty"`
	SaidLeaving int `json:"said_leaving,omitempty"`
	// KeysKept is the fraction of the service's keys that this VM's region does not lend to other
	// regions.
	KeysKept float64 `json:"keys_kept"`
	// TriesLeft is what remains of this VM's retry budget.
	TriesLeft float64 `json:"tries_left"`
	// RequestsPerSecond is the rate of requests from this VM's callers, RunMs the time that one
	// takes on a warm target.
	RequestsPerSecond float64 `json:"requests_per_second"`
	RunMs             float64 `json:"run_ms"`
	// RunTimes holds the predicted run times by route. It is empty while they are not in use for the service.
	RunTimes []RunTime `json:"run_times,omitempty"`
	// WeightsBelowOne counts the targets that get fewer keys since they were overloaded, KeysMoved is
	// about the share of the service's keys that other targets have for them. Weights holds the lowest
	// weights.
	WeightsBelowOne int      `json:"weights_below_one,omitempty"`
	KeysMoved       float64  `json:"keys_moved,omitempty"`
	Weights         []Weight `json:"weights,omitempty"`
}

// RunTime is the predicted time of the runs of a route that find their key warm at a usual target.
type RunTime struct {
	Route    string  `json:"route"`
	MedianMs float64 `json:"median_ms"`
	P90Ms    float64 `json:"p90_ms"`
	// Samples is the number of runs of which the time was compared with its prediction. Deviation is their
	// average distance from the predicted median, as a share of it, and AboveP90 the share of runs that
	// took longer than the predicted 90th percentile; 0.1 is right.
	Samples   int     `json:"samples"`
	Deviation float64 `json:"deviation"`
	AboveP90  float64 `json:"above_p90"`
}

// Weight is the weight of a target among the targets of its service, from 1/8 to 1.
type Weight struct {
	Target steering.Target `json:"target"`
	Weight float64         `json:"weight"`
}

// Config describes the configuration in force on the VM and the newest one that it knows of.
type Config struct {
	// InForceMs is how long the configuration has been in force on this VM.
	InForceMs int64 `json:"in_force_ms"`
	// Content is a hash of the configuration's content: 32 bits in hexadecimal.
	Content string `json:"content"`
	// Newest is the newest version known to exist, and NewestFrom the VM that reported it first, or
	// empty if the store did.
	Newest     uint64      `json:"newest"`
	NewestFrom steering.VM `json:"newest_from,omitempty"`
	// BehindMs is how long a version newer than the one in force has been known.
	BehindMs int64 `json:"behind_ms"`
	// PartsMissing of Parts of the newer configuration have not been received yet. Wait says what
	// the VM is waiting for.
	PartsMissing int    `json:"parts_missing"`
	Parts        int    `json:"parts"`
	Wait         string `json:"wait,omitempty"`
	// Rejected is the newest configuration in the store if it cannot be used and this VM has read
	// it.
	Rejected *Rejected `json:"rejected,omitempty"`
}

// Rejected is a configuration that cannot be used.
type Rejected struct {
	// Version is the version as stored; it need not be a number.
	Version string `json:"version"`
	Reason  string `json:"reason"`
}

// Peer is what the VM knows of another entry VM from its heartbeats.
type Peer struct {
	VM     steering.VM     `json:"vm"`
	Zone   steering.Zone   `json:"zone"`
	Region steering.Region `json:"region"`
	// Control is the host:port of the VM's control listener.
	Control string `json:"control"`
	Live    bool   `json:"live"`
	Ready   bool   `json:"ready"`
	Leaving bool   `json:"leaving"`
	// ConfigVersion was in force on the VM ToldMs ago, and had been for at least InForceMs. ToldMs
	// is -1 if the reporting VM never received a heartbeat from it.
	ConfigVersion uint64 `json:"config_version"`
	Newest        uint64 `json:"newest"`
	Content       string `json:"content"`
	Wait          string `json:"wait,omitempty"`
	InForceMs     int64  `json:"in_force_ms"`
	ToldMs        int64  `json:"told_ms"`
}
