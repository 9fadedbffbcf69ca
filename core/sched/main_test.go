package sched

import "flag"

// The seed is fixed so that test results are reproducible. The flag -rapid.seed overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
