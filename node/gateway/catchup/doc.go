// Package catchup fetches newer configurations from other entry VMs, and serves the local one to
// VMs that are behind. Package steering/spread decides what to request, from which peer, and how
// much to send at once; this package makes and answers the HTTP calls.
//
// A Fetcher is idle unless this VM knows of a newer configuration than the active one. It then
// requests one piece after another from peers that have a newer configuration; each piece may
// come from a different peer. When peers deliver nothing for a while, the Fetcher has the
// configuration read from the store, because the VM that read the newest version may have
// stopped before any other VM fetched it.
package catchup
