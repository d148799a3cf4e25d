//go:build soak

package upstream

import (
	"net"
	"os"
)

// soakTargetsIP names the address at which this process finds all targets, so that the soak can cut its
// links alone. The declared addresses are the same for all entry VMs, which tell them to one another.
const soakTargetsIP = "HEATHERLOCK_SOAK_TARGETS_IP"

// targetAddress returns the address at which a target is reached.
func targetAddress(declared string) string {
	ip := os.Getenv(soakTargetsIP)
	_, port, err := net.SplitHostPort(declared)
	if ip == "" || err != nil {
		return declared
	}
	return net.JoinHostPort(ip, port)
}
