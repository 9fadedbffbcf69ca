// Package model runs the request policies against small fake targets in virtual
// time, so that policies can be measured on the same arrivals and seed.
package model
