package admin

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"daisysaddle/core/config"
)

const (
	baseFile   = ".base"
	filePerm   = 0o644
	iniPattern = "*.ini"
)

// ReadFolder reads the .ini files of a folder; it returns an error when there are none.
func ReadFolder(dir string) ([]config.File, error) {
	if info, err := os.Stat(dir); err != nil || !info.IsDir() {
		return nil, errors.Newf("%s is not a folder", dir)
	}
	paths, err := filepath.Glob(filepath.Join(dir, iniPattern))
	if err != nil {
		return nil, errors.Wrapf(err, "list %s", dir)
	}
	if len(paths) == 0 {
		return nil, errors.Newf("%s contains no .ini file", dir)
	}
	var files []config.File
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "read configuration")
		}
		files = append(files, config.File{Name: filepath.Base(path), Text: string(text)})
	}
	return files, nil
}

// WriteFolder writes configuration files and the revision they are based on to a folder.
func WriteFolder(dir string, files []config.File, revision uint64) error {
	for _, f := range files {
		if err := os.WriteFile(filepath.Join(dir, filepath.Base(f.Name)), []byte(f.Text), filePerm); err != nil {
			return errors.Wrap(err, "write configuration")
		}
	}
	return WriteBase(dir, revision)
}

// ReadBase returns the revision that a folder is based on, or zero when it was neither published nor fetched.
func ReadBase(dir string) (uint64, error) {
	text, err := os.ReadFile(filepath.Join(dir, baseFile))
	if errors.Is(err, os.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, errors.Wrap(err, "read base revision")
	}
	base, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 64)
	return base, errors.Wrapf(err, "%s does not contain a revision number", filepath.Join(dir, baseFile))
}

// WriteBase records the revision that a folder is based on.
func WriteBase(dir string, revision uint64) error {
	err := os.WriteFile(filepath.Join(dir, baseFile), fmt.Appendf(nil, "%d\n", revision), filePerm)
	return errors.Wrap(err, "write base revision")
}
