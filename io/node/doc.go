// Package node runs one entry of the job service: it accepts callers' jobs and, while it owns the
// workers, sends them the orders that core/sched plans.
//
// Durable state is kept in the platform's key-value store. One entry at a time owns the workers; the
// revision of its ownership record is the fencing token of its orders.
package node
