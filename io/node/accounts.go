package node

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cockroachdb/errors"

	"daisysaddle/core/sched"
)

// KeyDigest is the SHA-256 digest of an API key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// MarshalText returns the digest in hexadecimal.
func (d KeyDigest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText reads a digest in hexadecimal.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return errors.Newf("digest of a key has %d digits: want %d", len(text), hex.EncodedLen(len(d)))
	}
	_, err := hex.Decode(d[:], text)
	return errors.Wrap(err, "decode the digest of a key")
}

// Keys maps the digests of API keys to the names of their accounts. It is nil in a deployment without accounts, where no key is
// checked; if it is empty, no key is known.
type Keys map[KeyDigest]string

// Account returns the account of a key and whether the key is known. Its time depends on the key's digest only, which reveals
// nothing about the key.
func (k Keys) Account(key string) (string, bool) {
	name, known := k[DigestKey(key)]
	return name, known
}

// Caller is what a request is made with.
type Caller = sched.Caller

// submitter returns the caller that submits the job.
func submitter(j sched.Job) Caller { return Caller{Account: j.Account, Queue: j.Queue} }

// reasonOtherAccount is the reason of a request about a job of another account.
const reasonOtherAccount = "OtherAccount"

// verdictTaken is the verdict on a job whose id is that of another account's job.
var verdictTaken = Verdict{Outcome: OutcomeTaken, Reason: reasonOtherAccount}

// verdictHidden is the verdict on a query or a cancellation of another account's job.
var verdictHidden = Verdict{Outcome: OutcomeNoSuchJob, Reason: reasonOtherAccount}
