// Package peer keeps one authenticated link between each pair of entries.
//
// A link is a TLS connection that yamux divides into streams: the first carries
// protobuf frames, the others carry forwarded HTTP requests.
package peer
