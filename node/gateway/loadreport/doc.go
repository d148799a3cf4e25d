// Package loadreport exchanges what entry VMs report to each other about load, in UDP datagrams of
// sections. Each part of the system that reports registers a Section with the Service. A VM skips
// sections that it does not know, so that builds with different sections work together.
//
// The Service sends nothing while no section has anything to report. A lost datagram is made up for
// by a later one; nothing depends on a single datagram.
package loadreport
