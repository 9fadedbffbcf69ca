// Package resend decides when a request that has no answer yet is sent again, and how long a destination may delay an
// answer. It serves idempotent requests over a path that loses some of them, or their answers.
package resend
