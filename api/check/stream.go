package check

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"
)

// Split reads a stream of JSON objects or arrays of objects until EOF and returns the JSON text of
// each object. On an error it also returns the objects read before it.
func Split(r io.Reader) ([]json.RawMessage, error) {
	decoder := json.NewDecoder(r)
	var all []json.RawMessage
	for {
		var raw json.RawMessage
		err := decoder.Decode(&raw)
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return all, errors.Wrapf(err, "check: after %d objects, at byte %d", len(all), decoder.InputOffset())
		}
		if !bytes.HasPrefix(bytes.TrimSpace(raw), []byte("[")) {
			all = append(all, raw)
			continue
		}
		var list []json.RawMessage
		if err := json.Unmarshal(raw, &list); err != nil {
			return all, errors.Wrap(err, "check: array of objects")
		}
		all = append(all, list...)
	}
}
