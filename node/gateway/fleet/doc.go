// Package fleet lets entry VMs know of each other.
//
// There is no list of live entry VMs on the platform. Each VM writes a record of
// itself to the store when it starts and then reads all records, so that of any
// two one has read the other's; from then on they tell each other by datagrams
// that they live, and need the store no more. A VM that starts while the store
// is away asks the seeds from its settings, which answer with all they know.
//
// Datagrams are lost now and then; five in a row rarely are, so a VM counts as
// gone after that many are missing. A VM that was paused itself gives the
// others that time again, since it could not hear them.
package fleet
