// Package plan decides for one availability zone which instances leave, move, fail, recover and are
// replaced. It keeps disruption within the zone's allowances and the availability budgets of the pools.
//
// Step is a pure function of the current time, a view and a policy; the caller writes the resulting
// record with one compare-and-swap.
package plan
