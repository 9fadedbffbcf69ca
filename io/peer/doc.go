// Package peer maintains one authenticated link between each pair of entries.
//
// A link is a TLS connection that yamux multiplexes into streams. The first stream, the control stream, carries protobuf frames;
// each further stream is a connection for forwarded HTTP requests.
package peer
