package loadreport

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"heatherlock/steering"
)

const (
	// version is the first byte of each datagram. Datagrams of another version are dropped.
	version = 1
	// maxDatagramBytes is the largest datagram that is sent. It fits into one packet of 1500 bytes.
	maxDatagramBytes = 1400
	// receiveBufferBytes is the size of the receive buffer.
	receiveBufferBytes = 64 << 10
	// packetHeaderBytes are the headers of IP and UDP, which count towards the budgets.
	packetHeaderBytes = 28
)

// datagram carries sections from one VM to another.
type datagram struct {
	_    struct{} `cbor:",toarray"`
	From steering.VM
	// Incarnation distinguishes a process from earlier ones of the same name, and Number grows with
	// each datagram of an incarnation.
	Incarnation uint32
	Number      uint64
	Sections    []sectionData
}

// sectionData is what a section reports.
type sectionData struct {
	_    struct{} `cbor:",toarray"`
	ID   uint8
	Data []byte
}

var (
	errVersion   = errors.New("loadreport: datagram of another version")
	errMalformed = errors.New("loadreport: malformed datagram")
)

func encode(d datagram) ([]byte, error) {
	raw, err := cbor.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "loadreport: encode datagram")
	}
	return append([]byte{version}, raw...), nil
}

func decode(raw []byte) (d datagram, err error) {
	if len(raw) == 0 {
		return d, errMalformed
	}
	if raw[0] != version {
		return d, errVersion
	}
	if err := cbor.Unmarshal(raw[1:], &d); err != nil {
		return d, errMalformed
	}
	return d, nil
}
