// Package jobs decides where long-running jobs run, which ones make room for
// others, and which ones can run nowhere.
//
// Plan is a pure function of the present time, a view and the evidence gathered so far.
package jobs
