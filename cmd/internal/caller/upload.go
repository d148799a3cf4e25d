package caller

import (
	"io"
	"time"

	"heatherlock/standin/witness"
)

// uploadChunk is the number of bytes sent between two pauses.
const uploadChunk = 64 << 10

// upload is the body of an upload, sent evenly over a time. The bytes depend
// on the request alone, so that a repeat sends the same ones.
type upload struct {
	noise   io.Reader
	left    int
	total   int
	over    time.Duration
	started time.Time
}

func newUpload(r Request) *upload {
	return &upload{noise: witness.Noise(r.ID), left: r.UploadBytes, total: r.UploadBytes, over: r.UploadTime}
}

// Read gives the next chunk when its time has come.
func (u *upload) Read(p []byte) (int, error) {
	if u.left == 0 {
		return 0, io.EOF
	}
	if u.started.IsZero() {
		u.started = time.Now()
	}
	sent := u.total - u.left
	due := time.Duration(float64(u.over) * float64(sent) / float64(u.total))
	time.Sleep(time.Until(u.started.Add(due)))
	n := min(len(p), u.left, uploadChunk)
	_, _ = u.noise.Read(p[:n])
	u.left -= n
	return n, nil
}

// uploadSum returns the digest and size of the body that the request sends.
func (r Request) uploadSum() (string, int64) {
	if r.Kind != witness.KindUpload {
		return "", 0
	}
	body := newUpload(r)
	body.over = 0
	sum, size, err := witness.Sum(body)
	if err != nil {
		return "", 0
	}
	return sum, size
}
