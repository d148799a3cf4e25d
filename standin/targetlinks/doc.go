// Package targetlinks stands in for the network between an entry VM and the targets, which can be cut
// while callers, the store and other entry VMs still reach the VM.
package targetlinks
