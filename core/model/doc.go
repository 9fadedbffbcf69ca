// Package model simulates requests, maintenance waves and long-running jobs in virtual time, to compare policies.
//
// With the same setup and seed all policies are measured on the same arrivals and faults.
package model
