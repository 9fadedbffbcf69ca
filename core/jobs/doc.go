// Package jobs decides on which worker each long-running job runs, which jobs are
// preempted for others, and which jobs cannot be placed at all.
//
// The result of Policy.Plan depends only on the current time, a View and the Evidence gathered so far.
package jobs
