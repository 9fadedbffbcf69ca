// Package node runs one entry of the job service: it takes in callers' jobs and, while it owns the
// workers, carries out the orders of core/sched.
//
// What must last lies in the platform's store. One entry at a time owns the workers; the revision
// of its ownership record is the fencing token of its orders.
package node
