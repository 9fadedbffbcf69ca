// Package peer maintains one authenticated link between each pair of entries.
//
// A link is a TLS connection that yamux multiplexes into streams. The first, the control stream, is for protobuf frames, and
// each of the others is for forwarded HTTP requests.
package peer
