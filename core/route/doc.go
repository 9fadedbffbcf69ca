// Package route selects the target of a request and divides the slots of targets among the entries of a zone.
package route
