// Package share divides the room of a full pool among client accounts by weight.
//
// An account's use is measured in virtual time: seconds of the whole pool, in the resource of which it takes the largest part, divided by
// its weight. The pool's virtual time is that of an account which takes exactly its share.
package share
