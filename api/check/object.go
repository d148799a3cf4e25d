package check

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"

	"heatherlock/api/oas"
)

// hostPattern matches a host name or an IP address, without a scheme, port or path.
var hostPattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9.:\-]{0,251}[A-Za-z0-9])?$`)

// methodPattern matches the names of HTTP methods, which are case-sensitive.
var methodPattern = regexp.MustCompile(`^[A-Z]{1,20}$`)

// CheckObject returns the problems of an object that can be found without looking at other objects.
func CheckObject(o oas.Object) Problems {
	problems := Problems{}
	r := report{RefOf(o), &problems}
	switch o.Type {
	case oas.ServiceObject:
		checkService(r, o.Service.Spec)
	case oas.PlaceObject:
		checkPlace(r, o.Place.Spec)
	case oas.ClientBlocksObject:
		checkBlocks(r, o.ClientBlocks.Spec)
	case oas.ShiftObject:
		if o.Shift.Spec.From == o.Shift.Spec.To {
			r.invalid("spec.to", "name another place, zone or region", "is the same as spec.from")
		}
	case oas.PlannedStopObject:
		checkStop(r, o.PlannedStop.Spec)
	}
	return problems
}

func checkService(r report, spec oas.ServiceSpec) {
	seen := map[string]bool{}
	for i, host := range spec.Hosts {
		field := fmt.Sprintf("spec.hosts[%d]", i)
		if !hostPattern.MatchString(host) {
			r.invalid(field, "give a host name without scheme, port or path", "%q is not a host name", truncate(host))
		}
		if seen[strings.ToLower(host)] {
			r.invalid(field, "remove it", "%q is listed twice", truncate(host))
		}
		seen[strings.ToLower(host)] = true
	}
	for i, method := range spec.NonIdempotentMethods {
		// Methods are compared case-sensitively: "post" would match no request, and purchases would
		// be retried as if they were idempotent.
		if !methodPattern.MatchString(method) {
			r.invalid(fmt.Sprintf("spec.nonIdempotentMethods[%d]", i), "write it in capitals, for example POST", "%q is not an HTTP method", truncate(method))
		}
	}
	hedge, timeout := spec.HedgeAfterMs.Or(0), spec.TimeoutMs.Or(0)
	if timeout > 0 && hedge >= timeout {
		r.invalid("spec.hedgeAfterMs", "give less than spec.timeoutMs, or 0 to turn hedging off", "a hedge after %d ms comes later than the deadline of %d ms", hedge, timeout)
	}
}

func checkPlace(r report, spec oas.PlaceSpec) {
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, target := range spec.Targets {
		field := fmt.Sprintf("spec.targets[%d]", i)
		if names[target.Name] {
			r.invalid(field+".name", "give each target a name of its own", "%q is used twice", truncate(target.Name))
		}
		names[target.Name] = true
		checkAddress(r, field+".address", target.Address)
		if addresses[target.Address] {
			r.invalid(field+".address", "remove one of the two: its slots would be counted twice", "%s is used twice", truncate(target.Address))
		}
		addresses[target.Address] = true
		if most := target.MaxConnections.Or(0); most > 0 && target.Slots > most {
			r.invalid(field+".slots", "give at most maxConnections", "%d slots do not fit %d connections", target.Slots, most)
		}
	}
}

func checkAddress(r report, field, address string) {
	const remedy = "give an IP number and a port, for example 10.0.0.7:8080 or [2001:db8::7]:8080"
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		r.invalid(field, remedy, "%q is not IP:port", truncate(address))
		return
	}
	if parsed.Port() == 0 || parsed.Addr().IsUnspecified() || parsed.Addr().IsMulticast() {
		r.invalid(field, remedy, "%s cannot be connected to", address)
	}
}

func checkBlocks(r report, spec oas.ClientBlocksSpec) {
	seen := make(map[netip.Prefix]bool, len(spec.Blocks))
	for i, block := range spec.Blocks {
		field := fmt.Sprintf("spec.blocks[%d].prefix", i)
		prefix, err := netip.ParsePrefix(block.Prefix)
		if err != nil {
			r.invalid(field, "give a CIDR, for example 10.1.0.0/16", "%q is not a CIDR", truncate(block.Prefix))
			continue
		}
		if prefix != prefix.Masked() {
			r.invalid(field, fmt.Sprintf("write %s if the whole block is meant", prefix.Masked()), "%s has bits set beyond its length", prefix)
		}
		if seen[prefix.Masked()] {
			r.invalid(field, "remove one of the two", "%s is listed twice", prefix)
		}
		seen[prefix.Masked()] = true
	}
}

func checkStop(r report, spec oas.PlannedStopSpec) {
	at, hasAt := spec.At.Get()
	deadline, hasDeadline := spec.Deadline.Get()
	if hasAt && hasDeadline && !deadline.After(at) {
		r.invalid("spec.deadline", "give a deadline after spec.at, or none", "the deadline does not come after the start")
	}
	if spec.CutAtDeadline.Or(false) && !hasDeadline {
		r.invalid("spec.deadline", "add the deadline, or remove spec.cutAtDeadline", "cutAtDeadline needs a deadline")
	}
}
