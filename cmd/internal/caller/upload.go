package caller

import (
	"io"
	"time"

	"heatherlock/standin/witness"
)

// uploadChunk is the maximum number of bytes sent between two pauses.
const uploadChunk = 64 << 10

// upload is the body of an upload, sent at a constant rate. The bytes depend only on
// the request, so that a retry sends the same ones.
type upload struct {
	content   io.Reader
	remaining int
	total     int
	over      time.Duration
	started   time.Time
}

func newUpload(r Request) *upload {
	return &upload{content: witness.Noise(r.ID), remaining: r.UploadBytes, total: r.UploadBytes, over: r.UploadTime}
}

// Read returns the next chunk when it is due.
func (u *upload) Read(p []byte) (int, error) {
	if u.remaining == 0 {
		return 0, io.EOF
	}
	if u.started.IsZero() {
		u.started = time.Now()
	}
	sent := u.total - u.remaining
	due := time.Duration(float64(u.over) * float64(sent) / float64(u.total))
	time.Sleep(time.Until(u.started.Add(due)))
	n := min(len(p), u.remaining, uploadChunk)
	_, _ = u.content.Read(p[:n])
	u.remaining -= n
	return n, nil
}

// uploadSum returns the digest and size of the body of an upload, or zero values for
// other kinds of requests.
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
