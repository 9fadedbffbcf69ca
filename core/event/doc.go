// Package event logs the decisions of entries, stamped with a hybrid logical clock
// so that the logs of several entries merge in causal order.
package event
