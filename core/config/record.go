package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// maxUncompressedBytes limits how much is read of a record's decompressed JSON.
const maxUncompressedBytes = 64 << 20

// maxHistoryChanges is the largest number of changes in a revision that is kept for three-way merges.
const maxHistoryChanges = 512

// Encode encodes an accepted configuration for storage, as a JSON string that holds gzip-compressed JSON in base64.
func (a Accepted) Encode() ([]byte, error) {
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if err := json.NewEncoder(w).Encode(a); err != nil {
		return nil, errors.Wrap(err, "encode the configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress the configuration")
	}
	return json.Marshal(compressed.Bytes())
}

// Decode decodes a record that Encode returned.
func Decode(record []byte) (Accepted, error) {
	var accepted Accepted
	var compressed []byte
	if err := json.Unmarshal(record, &compressed); err != nil {
		return accepted, errors.Wrap(err, "decode the configuration record")
	}
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return accepted, errors.Wrap(err, "decompress the configuration record")
	}
	err = json.NewDecoder(io.LimitReader(r, maxUncompressedBytes)).Decode(&accepted)
	return accepted, errors.Wrap(err, "decode the configuration")
}
