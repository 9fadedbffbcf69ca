// Package retry decides whether and when a failed attempt is retried, and limits the number of retries.
package retry
