package load

import (
	"fmt"
	"net"
	"net/netip"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"heatherlock/cmd/internal/traffic"
	"heatherlock/standin/deploy"
)

// Limits of a run.
const (
	maxRate     = 50_000
	maxFor      = 10 * time.Minute
	maxRequests = 5_000_000
)

// Options are the options of a run.
type Options struct {
	// Entries are the caller addresses of the entry VMs to send look-ups to.
	Entries    []string
	Deployment string
	// Mix is the share of each service in the rate, as SERVICE=SHARE separated by
	// commas. If it is empty, the shares are such that all targets have the same
	// utilization.
	Mix  string
	Rate float64 // requests a second over all services
	For  time.Duration
	Seed uint64
	// AllowRemote allows entry VMs that are not on loopback.
	AllowRemote bool
	JSONFile    string
	PlotFile    string // .svg or .png
}

// Check returns an error with a remedy for the first invalid option.
func (o Options) Check() error {
	if len(o.Entries) == 0 {
		return fmt.Errorf("load: no entry VM; give --entry HOST:PORT of a callers' listener")
	}
	for _, entry := range o.Entries {
		if err := o.checkEntry(entry); err != nil {
			return err
		}
	}
	if o.Rate <= 0 || o.Rate > maxRate {
		return fmt.Errorf("load: --rate %g is out of bounds; give more than 0 and at most %d requests a second", o.Rate, maxRate)
	}
	if o.For <= 0 || o.For > maxFor {
		return fmt.Errorf("load: --for %s is out of bounds; give more than 0 and at most %s", o.For, maxFor)
	}
	if o.Rate*o.For.Seconds() > maxRequests {
		return fmt.Errorf("load: %g requests a second for %s is over %d requests; lower --rate or --for", o.Rate, o.For, maxRequests)
	}
	if o.PlotFile != "" && !slices.Contains(plotFormats, filepath.Ext(o.PlotFile)) {
		return fmt.Errorf("load: --plot %s: unknown format; end the name in %s", o.PlotFile, strings.Join(plotFormats, " or "))
	}
	d, err := deploy.Named(o.Deployment)
	if err != nil {
		return err
	}
	_, err = o.shares(d)
	return err
}

// checkEntry returns an error for an address that is not on loopback, unless remote
// entry VMs are allowed. A host name is never accepted as loopback, because it may
// resolve to a different address by the time it is used.
func (o Options) checkEntry(entry string) error {
	host, port, err := net.SplitHostPort(entry)
	if err != nil || port == "" {
		return fmt.Errorf("load: --entry %q is not HOST:PORT; give for example 127.0.0.1:7001", entry)
	}
	if o.AllowRemote || isLoopback(host) {
		return nil
	}
	return fmt.Errorf("load: --entry %s is not on loopback; add --allow-remote if that system may be loaded", entry)
}

func isLoopback(host string) bool {
	address, err := netip.ParseAddr(host)
	return err == nil && address.IsLoopback()
}

// share is the part of the rate that one service gets.
type share struct {
	service deploy.Service
	part    float64
}

// shares returns the shares of the services. Their parts add up to 1.
func (o Options) shares(d deploy.Deployment) ([]share, error) {
	if o.Mix == "" {
		return evenShares(d), nil
	}
	var all []share
	for item := range strings.SplitSeq(o.Mix, ",") {
		name, number, found := strings.Cut(strings.TrimSpace(item), "=")
		part, err := strconv.ParseFloat(number, 64)
		if !found || err != nil || part < 0 {
			return nil, fmt.Errorf("load: --mix: %q is not SERVICE=SHARE; give for example %s=1", item, d.Services[0].Name)
		}
		s, known := d.Service(name)
		if !known {
			return nil, fmt.Errorf("load: --mix: %s has no service %q; use %s", d.Name, name, serviceNames(d))
		}
		all = append(all, share{s, part})
	}
	return normalized(all)
}

func evenShares(d deploy.Deployment) []share {
	var all []share
	for _, s := range d.Services {
		all = append(all, share{s, traffic.ZoneRate(d, s, 1)})
	}
	all, _ = normalized(all)
	return all
}

func normalized(all []share) ([]share, error) {
	sum := 0.0
	for _, s := range all {
		sum += s.part
	}
	if sum <= 0 {
		return nil, fmt.Errorf("load: --mix gives no service a share; give at least one above 0")
	}
	for i := range all {
		all[i].part /= sum
	}
	return all, nil
}

func serviceNames(d deploy.Deployment) string {
	names := make([]string, len(d.Services))
	for i, s := range d.Services {
		names[i] = s.Name
	}
	return strings.Join(names, ", ")
}
