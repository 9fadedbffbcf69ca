// Package fleet defines the zone records that entries share through the platform's key-value store,
// and the state machine of an instance.
package fleet
