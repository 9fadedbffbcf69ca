// Package event records what entries decide, stamped with a hybrid logical clock
// so that the records of several entries merge in causal order.
package event
