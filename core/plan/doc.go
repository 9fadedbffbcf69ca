// Package plan decides for one availability zone which instances leave, move,
// fail, recover and are replaced, within the zone's allowances.
//
// Step is a pure function of the present time and a view; the caller publishes
// the resulting record with one compare-and-swap.
package plan
