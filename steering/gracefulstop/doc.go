// Package gracefulstop decides how an entry VM that is told to stop takes leave of its callers.
//
// The load: callers go on using the VM for as long as they cache a directory response that names it,
// some of them three times as long as it says. They keep connections open, and some always have a
// further request sent before the last one is answered. A process that ends with requests in hand
// breaks them off, and a request that must run at most once can then not be sent again.
//
// A Schedule says until when connections are kept open, when the port is closed, when requests that
// still run get a final response, and when the process has to be done. A Connection says which response closes a connection: that to the last request that
// is read. Callers send again what they sent behind it, whatever its kind, so nothing behind it may
// have been started.
package gracefulstop
