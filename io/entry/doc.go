// Package entry implements an entry instance: it serves callers, keeps links to the other
// entries and, while it is elected planner, plans the instances of its availability zone.
//
// One goroutine, the control goroutine, owns all control state. It receives typed messages and
// publishes immutable routing tables to the traffic goroutines, which serve requests.
package entry
