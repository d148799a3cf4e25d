// Package responses decides what is accepted as a response of another process: of targets, of other entry VMs, of the store and
// of the operators' API. All that read responses use it, so that none accepts what another one refuses.
//
//   - A head that breaks the protocol is refused ([Check]): neither its status nor where its body ends is certain.
//   - A response without a length ends with its connection. [Conn] reports that end only if the other side has sent it, and not
//     where a write of the request has taken the report of a reset.
//   - HTTP/1.0 knows no transfer encodings. [Conn] refuses a response that states one, since net/http drops the field.
//
// [Transport] applies all of this to clients of net/http. [StallTimeout] bounds how long a response may pause, whatever its size.
package responses
