// Package fleet defines the records that entries share through the platform
// and the states an instance passes through.
package fleet
