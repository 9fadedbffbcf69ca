package plan

import "flag"

// The seed is fixed so that every run draws the same cases; -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
