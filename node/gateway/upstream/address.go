//go:build !soak

package upstream

// targetAddress returns the address at which a target is reached.
func targetAddress(declared string) string { return declared }
