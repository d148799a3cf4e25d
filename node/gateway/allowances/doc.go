// Package allowances enforces the request allowances of workspaces on one entry VM. A Service
// obtains credits from the entry VM that owns a workspace, reports their use to it in UDP
// datagrams, and replies to the reports on the workspaces that this VM owns. The decisions are made
// by package steering/allowance.
//
// If a datagram is lost, the requests that wait for the reply wait up to the owner timeout of
// package steering/allowance; nothing else depends on a single datagram. Datagrams contain no API
// keys and no names of workspaces.
package allowances
