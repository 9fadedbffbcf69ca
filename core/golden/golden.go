// Package golden compares encoded records with the bytes that earlier builds wrote.
//
// The files are in testdata/golden of the package that declares the records.
package golden

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"
)

// Read returns the content of a golden file of the package under test.
func Read(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	must.NoError(t, err)
	return text
}

// Check decodes the golden file NAME.json into a T, encodes the T and compares the bytes.
// It fails when a field of T was renamed without a tag that keeps its encoded name.
func Check[T any](t *testing.T, name string) {
	t.Helper()
	stored := Read(t, name+".json")
	var v T
	decoder := json.NewDecoder(bytes.NewReader(stored))
	decoder.DisallowUnknownFields()
	must.NoError(t, decoder.Decode(&v))
	again, err := json.Marshal(v)
	must.NoError(t, err)
	must.Eq(t, string(stored), string(again))
}
