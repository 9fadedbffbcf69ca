package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// maxRecordBytes bounds what a record may unpack to.
const maxRecordBytes = 64 << 20

// maxRememberedChanges is the largest step that is kept for three-way merges.
const maxRememberedChanges = 512

// Encode packs an accepted configuration for its record, as a JSON string of compressed JSON.
func (a Accepted) Encode() ([]byte, error) {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if err := json.NewEncoder(w).Encode(a); err != nil {
		return nil, errors.Wrap(err, "encode the configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress the configuration")
	}
	return json.Marshal(packed.Bytes())
}

// Decode unpacks a record made by Encode.
func Decode(record []byte) (Accepted, error) {
	var accepted Accepted
	var packed []byte
	if err := json.Unmarshal(record, &packed); err != nil {
		return accepted, errors.Wrap(err, "decode the configuration record")
	}
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return accepted, errors.Wrap(err, "uncompress the configuration record")
	}
	err = json.NewDecoder(io.LimitReader(r, maxRecordBytes)).Decode(&accepted)
	return accepted, errors.Wrap(err, "decode the configuration")
}
