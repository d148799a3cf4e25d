// Package allowances holds the workspaces of callers to their allowances on one entry VM:
// it asks for credits, reports their use by datagrams, and answers for the workspaces
// that this VM owns. The decisions are in steering/allowance.
//
// A datagram that is lost costs the requests that wait for its answer up to
// allowance.AskFor; nothing else depends on it. Datagrams hold no keys and no names of
// workspaces.
package allowances
