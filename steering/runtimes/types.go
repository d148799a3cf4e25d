package runtimes

import (
	"time"

	"heatherlock/steering"
)

// Class groups runs whose times have one distribution.
type Class struct {
	Service steering.Service
	Route   string
}

// Warmth says whether a run's key is warm at its target.
type Warmth uint8

const (
	// WarmthUnknown marks a run whose key may be warm. Its time decides as which it counts.
	WarmthUnknown Warmth = iota
	Warm
	Cold
)

// Sample is an observed run that did not wait at its target.
type Sample struct {
	Class  Class
	Target steering.Target
	Took   time.Duration
	Warm   Warmth
	// Slowdown is how long work took on the target's machine when the run ended, as a multiple of the
	// usual time; 0 if unknown.
	Slowdown float64
}

// Query asks for the time of a run that starts now.
type Query struct {
	Class Class
	// Target is where it would run; empty asks for a target of usual speed.
	Target steering.Target
	// Warm is whether the key is expected to be warm; WarmthUnknown counts as warm.
	Warm Warmth
	// Slowdown is the last one that the target reported, SlowdownAge ago; 0 if unknown.
	Slowdown    float64
	SlowdownAge time.Duration
}

// Estimate is a predicted run time. Known is false, and the times are 0, without enough samples.
type Estimate struct {
	Median, P90 time.Duration
	Known       bool
}

// ClassError compares the predicted times of a class with the observed ones.
type ClassError struct {
	Class Class
	// Samples is the number of runs that were compared.
	Samples int
	// Deviation is the average distance of the observed time from the predicted median, as a share of
	// the latter. AboveP90 is the share of runs that took longer than the predicted 90th percentile.
	Deviation, AboveP90 float64
}
