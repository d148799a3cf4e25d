package buffering

import (
	"io"

	"github.com/go-faster/errors"
)

// ErrNoRoom reports that this VM may hold no further bytes.
var ErrNoRoom = errors.New("buffering: this VM holds as many bytes as its memory allows")

// minRead is the first buffer of a body of unknown length.
const minRead = 512

// ReadUpTo reads a body until its end, and at most limit bytes. It reserves the buffer before it reads:
// expect bytes first, and twice as many each time they do not suffice. With ErrNoRoom it returns what
// it has read.
func ReadUpTo(r io.Reader, c *Claim, expect, limit int64) ([]byte, error) {
	size := min(max(expect, minRead)+1, limit) // one more, so that the end is seen without growth
	if !c.Reserve(size) {
		return nil, ErrNoRoom
	}
	data := make([]byte, 0, size)
	for int64(len(data)) < limit {
		if len(data) == cap(data) {
			size = min(2*int64(cap(data)), limit)
			if !c.Reserve(size - int64(cap(data))) {
				return data, ErrNoRoom
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
	return data, nil
}
