// Package responses decides which bytes that another process sends are a response to be believed.
//
// It is used by everything that reads responses: those of targets, of other entry VMs, of the store and of the operators'
// API. There is one rule for all of them, so that no reader takes for a response what another one refuses.
//
//   - A head that breaks the protocol is refused ([Check]): its parts cannot be told from what surrounds them, so that
//     neither its status nor where its body ends is certain.
//   - A response without a length ends with its connection. [Conn] makes sure that the end is the end that the other side
//     sent, and not what is left of a reset whose report a write of the request took.
package responses
