// Package workspaces shows what became of the requests of workspaces over a whole fleet:
// the sums of what each entry VM counted, and what the owner of each allowance knows.
package workspaces
